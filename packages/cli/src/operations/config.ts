/** Operations on the configuration as a whole. */
import { applyPatch, createMergePatch, diffConfig, isConfigPart } from '@kingcupsill/core';
import type { FleetConfig, ConfigHistoryEntry } from '@kingcupsill/core';

import { ExitCode, fail, succeed } from '../outcome.js';
import type { CommandOutcome } from '../outcome.js';
import { changeConfig } from './change.js';
import { describeDifference, describeEntry, describeProblem, describeWarning } from './describe.js';
import { describeReadFailure } from './failures.js';
import type { ChangeOptions, FleetContext } from './types.js';

type ConfigOutcome = { ok: true; config: FleetConfig } | { ok: false; outcome: CommandOutcome };

const loadAt = async ({ store }: FleetContext, version?: number): Promise<ConfigOutcome> => {
  const loaded = version === undefined ? await store.load() : await store.loadVersion(version);
  if (loaded.ok) return loaded;
  if (loaded.code !== 'not-found') return { ok: false, outcome: describeReadFailure(loaded) };
  const message = `version ${version} does not exist`;
  return { ok: false, outcome: fail(ExitCode.Failure, 'not_found', message) };
};

/** Shows the configuration, or one of its parts. */
export const getConfig = async (
  ctx: FleetContext,
  options: { version?: number; part?: string },
): Promise<CommandOutcome> => {
  const loaded = await loadAt(ctx, options.version);
  if (!loaded.ok) return loaded.outcome;
  const { config } = loaded;
  const { part } = options;
  if (part !== undefined && !isConfigPart(part)) {
    return fail(ExitCode.Usage, 'unknown_part', `the configuration has no part "${part}"`);
  }
  const shown = part === undefined ? config : config[part];
  return succeed({ version: config.version, config: shown }, [JSON.stringify(shown, null, 2)]);
};

/** Shows what a patch would change. Who may change what is checked when it is committed. */
const tryPatch = async (
  ctx: FleetContext,
  { patch, baseVersion }: { patch: unknown; baseVersion: number },
): Promise<CommandOutcome> => {
  const loaded = await loadAt(ctx, baseVersion);
  if (!loaded.ok) return loaded.outcome;
  const { config } = loaded;
  const tried = applyPatch(
    { ...config, operators: {}, appliedPatches: [] },
    { id: 'dry-run', baseVersion, patch, author: '', reason: '' },
  );
  if (!tried.ok) {
    const problems = tried.code === 'invalid' ? tried.problems : [];
    return fail(ExitCode.Invalid, 'invalid', 'the resulting configuration is invalid', {
      data: { problems },
      lines: problems.map(describeProblem),
    });
  }
  const differences = diffConfig({ ...config, operators: {} }, tried.config);
  return succeed({ baseVersion, differences, warnings: tried.warnings }, [
    ...differences.map(describeDifference),
    ...tried.warnings.map(describeWarning),
  ]);
};

/** Commits a patch, or shows what it would change. */
export const patchConfig = async (
  ctx: FleetContext,
  options: ChangeOptions & { patch: unknown; baseVersion: number; dryRun: boolean },
): Promise<CommandOutcome> => {
  const { patch, dryRun } = options;
  return dryRun ? tryPatch(ctx, options) : changeConfig(ctx, options, () => ({ ok: true, patch }));
};

/** Shows what differs between two versions. */
export const diffVersions = async (
  ctx: FleetContext,
  range: { from: number; to?: number },
): Promise<CommandOutcome> => {
  const before = await loadAt(ctx, range.from);
  if (!before.ok) return before.outcome;
  const after = await loadAt(ctx, range.to);
  if (!after.ok) return after.outcome;
  const differences = diffConfig(before.config, after.config);
  return succeed(
    { from: before.config.version, to: after.config.version, differences },
    differences.map(describeDifference),
  );
};

/** Lists the latest accepted patches, newest first. */
export const showHistory = async (
  ctx: FleetContext,
  { limit }: { limit: number },
): Promise<CommandOutcome> => {
  const loaded = await loadAt(ctx);
  if (!loaded.ok) return loaded.outcome;
  const to = loaded.config.version;
  const read = await ctx.store.history({ from: Math.max(1, to - limit + 1), to });
  if (!read.ok) return describeReadFailure(read);
  const entries = [...read.entries].reverse();
  return succeed({ entries }, entries.map(describeEntry));
};

/** Brings back the content of an earlier version as a new version. */
export const rollBack = async (
  ctx: FleetContext,
  options: ChangeOptions & { version: number },
): Promise<CommandOutcome> => {
  const target = await loadAt(ctx, options.version);
  if (!target.ok) return target.outcome;
  const reason = `roll back to version ${options.version}: ${options.reason}`;
  return changeConfig(ctx, { ...options, reason }, (config) => {
    const patch = createMergePatch(config, target.config);
    const changed = Object.keys(patch).length > 0;
    if (changed) return { ok: true, patch };
    const message = `the content of version ${options.version} is in place already`;
    return { ok: false, outcome: succeed({ version: config.version, changed }, [message]) };
  });
};

/** Reports each new version until `count` were seen or nothing came for `timeoutMs`. */
export const watchConfig = async (
  ctx: FleetContext,
  options: { count: number; timeoutMs: number; report: (entry: ConfigHistoryEntry) => void },
): Promise<CommandOutcome> => {
  const loaded = await loadAt(ctx);
  if (!loaded.ok) return loaded.outcome;
  let { version } = loaded.config;
  for (let seen = 0; seen < options.count;) {
    const changes = await ctx.store.watch({ version, timeoutMs: options.timeoutMs });
    if (!changes.ok) return describeReadFailure(changes);
    const newest =
      changes.kind === 'config' ? changes.config.version : version + changes.patches.length;
    if (newest === version) break;
    const read = await ctx.store.history({ from: version + 1, to: newest });
    if (!read.ok) return describeReadFailure(read);
    read.entries.slice(0, options.count - seen).forEach(options.report);
    seen += read.entries.length;
    version = newest;
  }
  return succeed({ version }, []);
};
