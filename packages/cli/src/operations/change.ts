/** Changes the configuration with a patch planned on the newest version. */
import type { FleetConfig } from '@kingcupsill/core';

import { succeed } from '../outcome.js';
import type { CommandOutcome } from '../outcome.js';
import { toCommitFailureOutcome, toReadFailureOutcome } from './failures.js';
import { formatWarning } from './format.js';
import type { ChangeOptions, FleetContext } from './types.js';

/** Patch with additional output for the operator, or the outcome of a command that commits nothing. */
export type PlannedChange =
  | { ok: true; patch: unknown; data?: Record<string, unknown>; lines?: string[] }
  | { ok: false; outcome: CommandOutcome };

/** Loads the newest configuration, plans a patch on it and commits the patch, by default against that version. */
export const changeConfig = async (
  ctx: FleetContext,
  options: ChangeOptions,
  plan: (config: FleetConfig) => PlannedChange | Promise<PlannedChange>,
): Promise<CommandOutcome> => {
  const loaded = await ctx.store.load();
  if (!loaded.ok) return toReadFailureOutcome(loaded);
  const planned = await plan(loaded.config);
  if (!planned.ok) return planned.outcome;
  const { baseVersion = loaded.config.version, patchId = ctx.createPatchId(), reason } = options;
  const outcome = await ctx.store.commit({
    id: patchId,
    baseVersion,
    patch: planned.patch,
    reason,
    operatorKey: ctx.operatorKey,
  });
  if (!outcome.ok) {
    const failure = await toCommitFailureOutcome(ctx, baseVersion, outcome);
    return { ...failure, data: { ...failure.data, patchId } };
  }
  const { version } = outcome.config;
  return succeed({ version, patchId, warnings: outcome.warnings, ...planned.data }, [
    `version ${version}`,
    ...(planned.lines ?? []),
    ...outcome.warnings.map(formatWarning),
  ]);
};
