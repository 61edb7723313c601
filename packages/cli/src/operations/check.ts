/** Check of a configuration in a file. */
import { validateConfig } from '@kingcupsill/core';

import { ExitCode, fail, succeed } from '../outcome.js';
import type { CommandOutcome } from '../outcome.js';
import { describeProblem, describeWarning } from './describe.js';

/** Validates a document. */
export const checkConfig = (candidate: unknown): CommandOutcome => {
  const outcome = validateConfig(candidate);
  if (!outcome.ok) {
    return fail(ExitCode.Invalid, 'invalid', 'the configuration is not valid', {
      data: { problems: outcome.problems },
      lines: outcome.problems.map(describeProblem),
    });
  }
  const { warnings } = outcome;
  return succeed({ warnings }, ['the configuration is valid', ...warnings.map(describeWarning)]);
};
