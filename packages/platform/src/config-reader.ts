/** Reading of the configuration from the object service. */
import { EMPTY_CONFIG, applyAcceptedPatch } from '@kingcupsill/core';
import type { AcceptedPatch, FleetConfig, ConfigHistoryEntry } from '@kingcupsill/core';

import { historyKey, readEntries, readSnapshot } from './config-log.js';
import type { ChangesOutcome, HistoryOutcome, LoadOutcome } from './config-types.js';
import type { ObjectClient } from './types.js';

/** A reader further behind takes the snapshot. */
const MAX_PATCHES_READ = 64;

/** Reads the configuration; the methods are those of the store. */
export interface ConfigReader {
  load(): Promise<LoadOutcome>;
  /** Reads what follows `version`, up to `to` where the caller knows that those versions exist. */
  readSince(version: number, to?: number): Promise<ChangesOutcome>;
  history(range: { from: number; to: number }): Promise<HistoryOutcome>;
  loadVersion(version: number): Promise<LoadOutcome | { ok: false; code: 'not-found' }>;
  /** Keeps a configuration that is known to be accepted, if it is newer than the one kept. */
  remember(config: FleetConfig): void;
}

const toAccepted = ({ version, id, patch }: ConfigHistoryEntry): AcceptedPatch => ({
  version,
  id,
  patch,
});

const applyEntries = (base: FleetConfig, entries: ConfigHistoryEntry[]): LoadOutcome => {
  let config = base;
  for (const entry of entries) {
    const applied = applyAcceptedPatch(config, toAccepted(entry));
    if (!applied.ok) {
      const { path, message } = applied.problems[0] ?? { path: '', message: 'invalid' };
      const place = `object "${historyKey(entry.version)}"`;
      return { ok: false, code: 'corrupt', message: `${place}: ${path} ${message}` };
    }
    config = applied.config;
  }
  return { ok: true, config };
};

/** Creates the reader. It remembers the newest configuration it read, so that later reads fetch only what is new. */
export const createConfigReader = (objects: ObjectClient): ConfigReader => {
  let newest: FleetConfig | undefined;

  const remember = (config: FleetConfig): void => {
    if (newest === undefined || config.version > newest.version) newest = config;
  };

  const load = async (): Promise<LoadOutcome> => {
    if (newest === undefined) {
      const snapshot = await readSnapshot(objects);
      if (!snapshot.ok) return snapshot;
      remember(snapshot.config ?? EMPTY_CONFIG);
    }
    const base = newest ?? EMPTY_CONFIG;
    const read = await readEntries(objects, base.version, Infinity);
    if (!read.ok) return read;
    const applied = applyEntries(base, read.entries);
    if (applied.ok) remember(applied.config);
    return applied;
  };

  const readSince: ConfigReader['readSince'] = async (version, to = Infinity) => {
    const limit = Math.min(MAX_PATCHES_READ, Math.max(0, to - version));
    const read = await readEntries(objects, version, limit);
    if (!read.ok) return read;
    if (read.entries.length < MAX_PATCHES_READ) {
      return { ok: true, kind: 'patches', patches: read.entries.map(toAccepted) };
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
    for (const { undo, version: undone } of read.entries.reverse()) {
      const step = applyAcceptedPatch(config, { version: undone + 1, patch: undo });
      if (!step.ok) return { ok: false, code: 'corrupt', message: `undo of version ${undone}` };
      config = { ...step.config, version: undone - 1 };
    }
    return { ok: true, config };
  };

  return { load, readSince, history, loadVersion, remember };
};
