/** Validation of a whole configuration: schema first, then references between entries. */
import type { z } from 'zod';

import { checkCrossReferences } from './cross-references.js';
import { formatPath } from './path.js';
import { fleetConfigSchema } from './schema.js';
import type { ConfigProblem, FleetConfig, ValidationOutcome } from './types.js';

/** Puts the issues of a schema check into problems; `prefix` is the place of the checked value. */
export const toConfigProblems = (
  error: z.ZodError,
  prefix: readonly PropertyKey[] = [],
): ConfigProblem[] =>
  error.issues.map((issue) => ({
    path: formatPath([...prefix, ...issue.path]),
    message: issue.message,
  }));

/** Checks a candidate document and lists all faults with their paths. */
export const validateConfig = (candidate: unknown): ValidationOutcome => {
  const parsed = fleetConfigSchema.safeParse(candidate);
  if (!parsed.success) return { ok: false, problems: toConfigProblems(parsed.error) };
  const config: FleetConfig = parsed.data;
  const { problems, warnings } = checkCrossReferences(config);
  if (problems.length > 0) return { ok: false, problems };
  return { ok: true, config, warnings };
};
