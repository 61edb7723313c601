/** Converts failures of the configuration store to command outcomes. */
import { diffConfig } from '@kingcupsill/core';
import type { CommitOutcome, ConfigLoadOutcome } from '@kingcupsill/platform';

import { ExitCode, fail, succeed } from '../outcome.js';
import type { CommandOutcome } from '../outcome.js';
import { formatDifference, formatProblem } from './format.js';
import type { FleetContext } from './types.js';

type ReadFailure = Extract<ConfigLoadOutcome, { ok: false }>;
type CommitFailure = Extract<CommitOutcome, { ok: false }>;
type FailureOf<C extends CommitFailure['code']> = Extract<CommitFailure, { code: C }>;

/** Converts a failed read. */
export const toReadFailureOutcome = (failure: ReadFailure): CommandOutcome => {
  if (failure.code === 'rate-limited') {
    return fail(
      ExitCode.Unavailable,
      'rate_limited',
      'the object service rejected the call because of its rate limit',
    );
  }
  if (failure.code === 'corrupt') return fail(ExitCode.Invalid, 'corrupt', failure.message);
  const message = `the object service is unavailable: ${failure.message}`;
  return fail(ExitCode.Unavailable, 'unavailable', message);
};

/** Converts a version conflict; the output has both versions and their differences. */
const toConflictOutcome = async (
  { store }: FleetContext,
  baseVersion: number,
  { currentVersion, current }: FailureOf<'stale'>,
): Promise<CommandOutcome> => {
  const message = `conflict: made against version ${baseVersion}, the current version is ${currentVersion}`;
  const base = await store.loadVersion(baseVersion);
  if (!base.ok) {
    return fail(ExitCode.Conflict, 'conflict', message, { data: { baseVersion, currentVersion } });
  }
  const differences = diffConfig(base.config, current);
  const heading = `differences between version ${baseVersion} and version ${currentVersion}:`;
  return fail(ExitCode.Conflict, 'conflict', message, {
    data: { baseVersion, currentVersion, differences },
    lines: [heading, ...differences.map((difference) => `  ${formatDifference(difference)}`)],
  });
};

type Handlers = {
  [C in CommitFailure['code']]: (
    failure: FailureOf<C>,
    ctx: FleetContext,
    baseVersion: number,
  ) => CommandOutcome | Promise<CommandOutcome>;
};

const handlers: Handlers = {
  stale: (failure, ctx, baseVersion) => toConflictOutcome(ctx, baseVersion, failure),
  invalid: ({ problems }) =>
    fail(ExitCode.Invalid, 'invalid', 'the resulting configuration is invalid', {
      data: { problems },
      lines: problems.map(formatProblem),
    }),
  forbidden: ({ message }) => fail(ExitCode.Failure, 'forbidden', message),
  // The operator repeats a patch after a lost response, and the patch is already in force.
  'already-applied': ({ version }) =>
    succeed({ code: 'already_applied', version }, [
      `this patch was already applied as version ${version}`,
    ]),
  unknown: ({ message }) =>
    fail(
      ExitCode.Unavailable,
      'unknown',
      `it is unknown whether the change took effect: ${message}`,
      { lines: ['it is safe to repeat the command with the same --patch-id'] },
    ),
  unavailable: toReadFailureOutcome,
  'rate-limited': toReadFailureOutcome,
  corrupt: toReadFailureOutcome,
};

/** Converts a failed commit. */
export const toCommitFailureOutcome = async <C extends CommitFailure['code']>(
  ctx: FleetContext,
  baseVersion: number,
  failure: FailureOf<C>,
): Promise<CommandOutcome> => handlers[failure.code](failure, ctx, baseVersion);
