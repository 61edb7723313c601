/** Reads the configuration from the object service. */
import { EMPTY_CONFIG, applyAcceptedPatch } from '@kingcupsill/core';
import type { AcceptedPatch, FleetConfig, ConfigHistoryEntry } from '@kingcupsill/core';

import { historyKey, readEntries, readSnapshot } from './config-log.js';
import type {
  ConfigChangesOutcome,
  ConfigHistoryOutcome,
  ConfigLoadOutcome,
} from './config-types.js';
import type { ObjectClient } from './types.js';

/** Maximum number of patches that a read returns; with more, it returns the whole configuration. */
const MAX_PATCHES_PER_READ = 64;

/** Read methods of the configuration store, documented in `ConfigStore`. */
export interface ConfigReader {
  load(): Promise<ConfigLoadOutcome>;
  /** Reads the changes after `version`, up to version `to` if it is given. */
  readSince(version: number, to?: number): Promise<ConfigChangesOutcome>;
  history(range: { from: number; to: number }): Promise<ConfigHistoryOutcome>;
  loadVersion(version: number): Promise<ConfigLoadOutcome | { ok: false; code: 'not-found' }>;
  /** Caches an accepted configuration if it is newer than the cached one. */
  cacheIfNewer(config: FleetConfig): void;
}

const toAcceptedPatch = ({ version, id, patch }: ConfigHistoryEntry): AcceptedPatch => ({
  version,
  id,
  patch,
});

const applyEntries = (base: FleetConfig, entries: ConfigHistoryEntry[]): ConfigLoadOutcome => {
  let config = base;
  for (const entry of entries) {
    const applied = applyAcceptedPatch(config, toAcceptedPatch(entry));
    if (!applied.ok) {
      const { path, message } = applied.problems[0] ?? { path: '', message: 'invalid' };
      const object = `object "${historyKey(entry.version)}"`;
      return { ok: false, code: 'corrupt', message: `${object}: ${path} ${message}` };
    }
    config = applied.config;
  }
  return { ok: true, config };
};

/** Creates the reader. It caches the newest configuration, so that later reads fetch only newer patches. */
export const createConfigReader = (objects: ObjectClient): ConfigReader => {
  let newestConfig: FleetConfig | undefined;

  const cacheIfNewer = (config: FleetConfig): void => {
    if (newestConfig === undefined || config.version > newestConfig.version) newestConfig = config;
  };

  const load = async (): Promise<ConfigLoadOutcome> => {
    if (newestConfig === undefined) {
      const snapshot = await readSnapshot(objects);
      if (!snapshot.ok) return snapshot;
      cacheIfNewer(snapshot.config ?? EMPTY_CONFIG);
    }
    const base = newestConfig ?? EMPTY_CONFIG;
    const read = await readEntries(objects, base.version, Infinity);
    if (!read.ok) return read;
    const applied = applyEntries(base, read.entries);
    if (applied.ok) cacheIfNewer(applied.config);
    return applied;
  };

  const readSince: ConfigReader['readSince'] = async (version, to = Infinity) => {
    const limit = Math.min(MAX_PATCHES_PER_READ, Math.max(0, to - version));
    const read = await readEntries(objects, version, limit);
    if (!read.ok) return read;
    if (read.entries.length < MAX_PATCHES_PER_READ) {
      return { ok: true, kind: 'patches', patches: read.entries.map(toAcceptedPatch) };
    }
    const loaded = await load();
    return loaded.ok ? { ok: true, kind: 'config', config: loaded.config } : loaded;
  };

  const history: ConfigReader['history'] = async ({ from, to }) =>
    readEntries(objects, from - 1, to - from + 1);

  const loadVersion: ConfigReader['loadVersion'] = async (version) => {
    const loaded = await load();
    if (!loaded.ok) return loaded;
    if (version < 0 || version > loaded.config.version) return { ok: false, code: 'not-found' };
    const read = await readEntries(objects, version, loaded.config.version - version);
    if (!read.ok) return read;
    let { config } = loaded;
    for (const { undo, version: revertedVersion } of read.entries.reverse()) {
      const reverted = applyAcceptedPatch(config, { version: revertedVersion + 1, patch: undo });
      if (!reverted.ok)
        return {
          ok: false,
          code: 'corrupt',
          message: `the undo patch of version ${revertedVersion} cannot be applied`,
        };
      config = { ...reverted.config, version: revertedVersion - 1 };
    }
    return { ok: true, config };
  };

  return { load, readSince, history, loadVersion, cacheIfNewer };
};
