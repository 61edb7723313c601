/** Validation of a whole configuration: the schema first, then cross-entry checks. */
import type { z } from 'zod';

import { checkCrossReferences } from './cross-references.js';
import { formatPath } from './path.js';
import { fleetConfigSchema } from './schema.js';
import type { ConfigProblem, FleetConfig, ValidationOutcome } from './types.js';

/** Converts the issues of a schema error to problems; `prefix` is the path of the validated value. */
export const toConfigProblems = (
  error: z.ZodError,
  prefix: readonly PropertyKey[] = [],
): ConfigProblem[] =>
  error.issues.map((issue) => ({
    path: formatPath([...prefix, ...issue.path]),
    message: issue.message,
  }));

/** Validates a candidate document; cross-entry checks run only if it conforms to the schema. */
export const validateConfig = (candidate: unknown): ValidationOutcome => {
  const parsed = fleetConfigSchema.safeParse(candidate);
  if (!parsed.success) return { ok: false, problems: toConfigProblems(parsed.error) };
  const config: FleetConfig = parsed.data;
  const { problems, warnings } = checkCrossReferences(config);
  if (problems.length > 0) return { ok: false, problems };
  return { ok: true, config, warnings };
};
