/** Versioned objects in memory. */
import type { WriteCondition } from './types.js';

export interface StoredObject {
  version: number;
  body: Buffer;
}

/** A change that watches hear of. */
export interface ChangeEvent {
  key: string;
  version: number;
  deleted: boolean;
}

export type WriteOutcome =
  | { ok: true; version: number; created: boolean }
  | { ok: false; code: 'conflict'; currentVersion: number | undefined }
  | { ok: false; code: 'not-found' };

export type ChangesOutcome =
  { ok: true; version: number; events: ChangeEvent[] } | { ok: false; code: 'too-old' };

export interface ObjectStoreOptions {
  /** Changes kept for watches. */
  historyLength: number;
}

/** Objects with versions, conditional writes and a bounded history of changes. Does no I/O. */
export interface ObjectStore {
  version(): number;
  get(key: string): StoredObject | undefined;
  /** Stores a body. `announce` false leaves the change out of the history. */
  put(key: string, body: Buffer, condition: WriteCondition, announce: boolean): WriteOutcome;
  remove(key: string, condition: WriteCondition, announce: boolean): WriteOutcome;
  list(prefix: string): { key: string; version: number }[];
  /** Changes below a prefix after a version; too old when the history no longer reaches it or it is still to come. */
  changes(prefix: string, after: number): ChangesOutcome;
}

const holds = (condition: WriteCondition, current: StoredObject | undefined): boolean => {
  if (condition.kind === 'none') return true;
  if (condition.kind === 'absent') return current === undefined;
  return current?.version === condition.version;
};

/** Creates an empty store at version 0. */
export const createObjectStore = ({ historyLength }: ObjectStoreOptions): ObjectStore => {
  const objects = new Map<string, StoredObject>();
  let history: ChangeEvent[] = [];
  let oldestVersion = 0;
  let lastVersion = 0;

  const record = (change: ChangeEvent) => {
    history.push(change);
    if (history.length < historyLength * 2) return;
    const dropped = history.length - historyLength;
    oldestVersion = history[dropped - 1]?.version ?? oldestVersion;
    history = history.slice(dropped);
  };
  const nextVersion = () => {
    lastVersion += 1;
    return lastVersion;
  };

  return {
    version: () => lastVersion,
    get: (key) => objects.get(key),
    put: (key, body, condition, announce) => {
      const current = objects.get(key);
      if (!holds(condition, current)) {
        return { ok: false, code: 'conflict', currentVersion: current?.version };
      }
      const version = nextVersion();
      objects.set(key, { version, body });
      if (announce) record({ key, version, deleted: false });
      return { ok: true, version, created: current === undefined };
    },
    remove: (key, condition, announce) => {
      const current = objects.get(key);
      if (current === undefined) return { ok: false, code: 'not-found' };
      if (!holds(condition, current)) {
        return { ok: false, code: 'conflict', currentVersion: current.version };
      }
      const version = nextVersion();
      objects.delete(key);
      if (announce) record({ key, version, deleted: true });
      return { ok: true, version, created: false };
    },
    list: (prefix) =>
      [...objects]
        .filter(([key]) => key.startsWith(prefix))
        .map(([key, { version }]) => ({ key, version }))
        .sort((a, b) => (a.key < b.key ? -1 : 1)),
    changes: (prefix, after) => {
      if (after < oldestVersion || after > lastVersion) return { ok: false, code: 'too-old' };
      let start = history.length;
      while (start > 0 && (history[start - 1]?.version ?? 0) > after) start -= 1;
      const events = history.slice(start).filter(({ key }) => key.startsWith(prefix));
      return { ok: true, version: lastVersion, events };
    },
  };
};
