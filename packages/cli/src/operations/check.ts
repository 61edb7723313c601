/** Validates configurations and settings from files. */
import { validateConfig } from '@kingcupsill/core';
import { edgeSchema } from '@kingcupsill/edge';
import { decodeConfiguration } from '@kingcupsill/prepared-platform';
import { loadSettings } from '@kingcupsill/runtime';

import { ExitCode, fail, succeed } from '../outcome.js';
import type { CommandOutcome } from '../outcome.js';
import { formatProblem, formatWarning } from './format.js';

/** Validates a configuration document. */
export const checkConfig = (candidate: unknown): CommandOutcome => {
  const outcome = validateConfig(candidate);
  if (!outcome.ok) {
    return fail(ExitCode.Invalid, 'invalid', 'the configuration is not valid', {
      data: { problems: outcome.problems },
      lines: outcome.problems.map(formatProblem),
    });
  }
  const { warnings } = outcome;
  return succeed({ warnings }, ['the configuration is valid', ...warnings.map(formatWarning)]);
};

/** Validates a configuration in the format of the prepared platform. */
export const checkPlatformConfig = (candidate: unknown): CommandOutcome => {
  const decoded = decodeConfiguration(candidate);
  if (!decoded.ok) {
    return fail(ExitCode.Invalid, 'invalid', `the configuration is not valid: ${decoded.message}`);
  }
  const { version, routes, services } = decoded.value;
  const data = { version, routes: routes.length, services: services.length };
  return succeed(data, ['the configuration is valid']);
};

/** Validates a settings file of `kingcupsill-edge`; the message has the file, section and key of the first error. */
export const checkEdgeSettings = (file: string): CommandOutcome => {
  const loaded = loadSettings({ schema: edgeSchema, file, env: {} });
  return loaded.ok
    ? succeed({}, ['the settings are valid'])
    : fail(ExitCode.Invalid, 'invalid', loaded.message);
};
