/** Operations on the configuration as a whole. */
import { applyPatch, createMergePatch, diffConfig, isConfigPart } from '@kingcupsill/core';
import type { FleetConfig, ConfigHistoryEntry } from '@kingcupsill/core';

import { ExitCode, fail, succeed } from '../outcome.js';
import type { CommandOutcome } from '../outcome.js';
import { changeConfig } from './change.js';
import { toReadFailureOutcome } from './failures.js';
import { formatDifference, formatHistoryEntry, formatProblem, formatWarning } from './format.js';
import type { ChangeOptions, FleetContext } from './types.js';

type ConfigOutcome = { ok: true; config: FleetConfig } | { ok: false; outcome: CommandOutcome };

const loadVersion = async ({ store }: FleetContext, version?: number): Promise<ConfigOutcome> => {
  const loaded = version === undefined ? await store.load() : await store.loadVersion(version);
  if (loaded.ok) return loaded;
  if (loaded.code !== 'not-found') return { ok: false, outcome: toReadFailureOutcome(loaded) };
  const message = `version ${version} does not exist`;
  return { ok: false, outcome: fail(ExitCode.Failure, 'not_found', message) };
};

/** Shows the configuration or one of its parts. */
export const getConfig = async (
  ctx: FleetContext,
  options: { version?: number; part?: string },
): Promise<CommandOutcome> => {
  const loaded = await loadVersion(ctx, options.version);
  if (!loaded.ok) return loaded.outcome;
  const { config } = loaded;
  const { part } = options;
  if (part !== undefined && !isConfigPart(part)) {
    return fail(ExitCode.Usage, 'unknown_part', `the configuration has no part "${part}"`);
  }
  const content = part === undefined ? config : config[part];
  return succeed({ version: config.version, config: content }, [JSON.stringify(content, null, 2)]);
};

/** Shows the changes that a patch would make. Permissions are checked only on commit. */
const previewPatch = async (
  ctx: FleetContext,
  { patch, baseVersion }: { patch: unknown; baseVersion: number },
): Promise<CommandOutcome> => {
  const loaded = await loadVersion(ctx, baseVersion);
  if (!loaded.ok) return loaded.outcome;
  const { config } = loaded;
  const preview = applyPatch(
    { ...config, operators: {}, appliedPatches: [] },
    { id: 'dry-run', baseVersion, patch, author: '', reason: '' },
  );
  if (!preview.ok) {
    const problems = preview.code === 'invalid' ? preview.problems : [];
    return fail(ExitCode.Invalid, 'invalid', 'the resulting configuration is invalid', {
      data: { problems },
      lines: problems.map(formatProblem),
    });
  }
  const differences = diffConfig({ ...config, operators: {} }, preview.config);
  return succeed({ baseVersion, differences, warnings: preview.warnings }, [
    ...differences.map(formatDifference),
    ...preview.warnings.map(formatWarning),
  ]);
};

/** Commits a patch, or shows its changes with `dryRun`. */
export const patchConfig = async (
  ctx: FleetContext,
  options: ChangeOptions & { patch: unknown; baseVersion: number; dryRun: boolean },
): Promise<CommandOutcome> => {
  const { patch, dryRun } = options;
  return dryRun
    ? previewPatch(ctx, options)
    : changeConfig(ctx, options, () => ({ ok: true, patch }));
};

/** Shows the differences between two versions. */
export const diffVersions = async (
  ctx: FleetContext,
  range: { from: number; to?: number },
): Promise<CommandOutcome> => {
  const before = await loadVersion(ctx, range.from);
  if (!before.ok) return before.outcome;
  const after = await loadVersion(ctx, range.to);
  if (!after.ok) return after.outcome;
  const differences = diffConfig(before.config, after.config);
  return succeed(
    { from: before.config.version, to: after.config.version, differences },
    differences.map(formatDifference),
  );
};

/** Lists the latest accepted patches, newest first. */
export const showHistory = async (
  ctx: FleetContext,
  { limit }: { limit: number },
): Promise<CommandOutcome> => {
  const loaded = await loadVersion(ctx);
  if (!loaded.ok) return loaded.outcome;
  const to = loaded.config.version;
  const read = await ctx.store.history({ from: Math.max(1, to - limit + 1), to });
  if (!read.ok) return toReadFailureOutcome(read);
  const entries = [...read.entries].reverse();
  return succeed({ entries }, entries.map(formatHistoryEntry));
};

/** Restores the content of an earlier version as a new version. */
export const rollBack = async (
  ctx: FleetContext,
  options: ChangeOptions & { version: number },
): Promise<CommandOutcome> => {
  const target = await loadVersion(ctx, options.version);
  if (!target.ok) return target.outcome;
  const reason = `roll back to version ${options.version}: ${options.reason}`;
  return changeConfig(ctx, { ...options, reason }, (config) => {
    const patch = createMergePatch(config, target.config);
    const changed = Object.keys(patch).length > 0;
    if (changed) return { ok: true, patch };
    const message = `the content of version ${options.version} is already in force`;
    return { ok: false, outcome: succeed({ version: config.version, changed }, [message]) };
  });
};

/** Reports each new version, until `count` versions were reported or none was accepted for `timeoutMs`. */
export const watchConfig = async (
  ctx: FleetContext,
  options: { count: number; timeoutMs: number; report: (entry: ConfigHistoryEntry) => void },
): Promise<CommandOutcome> => {
  const loaded = await loadVersion(ctx);
  if (!loaded.ok) return loaded.outcome;
  let { version } = loaded.config;
  for (let reportedCount = 0; reportedCount < options.count;) {
    const changes = await ctx.store.watch({ version, timeoutMs: options.timeoutMs });
    if (!changes.ok) return toReadFailureOutcome(changes);
    const newest =
      changes.kind === 'config' ? changes.config.version : version + changes.patches.length;
    if (newest === version) break;
    const read = await ctx.store.history({ from: version + 1, to: newest });
    if (!read.ok) return toReadFailureOutcome(read);
    read.entries.slice(0, options.count - reportedCount).forEach(options.report);
    reportedCount += read.entries.length;
    version = newest;
  }
  return succeed({ version }, []);
};
