/** In-memory store of versioned objects. */
import type { WriteCondition } from './types.js';

export interface StoredObject {
  version: number;
  body: Buffer;
}

/** A change that is reported to watches. */
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
  /** Minimum number of changes retained for watches. */
  historyLength: number;
}

/** Stores versioned objects with conditional writes and a bounded change history. Performs no I/O. */
export interface ObjectStore {
  version(): number;
  get(key: string): StoredObject | undefined;
  /** Stores a body if the condition is met. `recordChange` false omits the change from the history. */
  put(key: string, body: Buffer, condition: WriteCondition, recordChange: boolean): WriteOutcome;
  remove(key: string, condition: WriteCondition, recordChange: boolean): WriteOutcome;
  list(prefix: string): { key: string; version: number }[];
  /** Returns the changes to keys with this prefix after a version, or `too-old` if that version precedes the history or does not exist yet. */
  changes(prefix: string, after: number): ChangesOutcome;
}

const isConditionMet = (condition: WriteCondition, current: StoredObject | undefined): boolean => {
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

  const appendToHistory = (change: ChangeEvent) => {
    history.push(change);
    if (history.length < historyLength * 2) return;
    const excess = history.length - historyLength;
    oldestVersion = history[excess - 1]?.version ?? oldestVersion;
    history = history.slice(excess);
  };
  const nextVersion = () => {
    lastVersion += 1;
    return lastVersion;
  };

  return {
    version: () => lastVersion,
    get: (key) => objects.get(key),
    put: (key, body, condition, recordChange) => {
      const current = objects.get(key);
      if (!isConditionMet(condition, current)) {
        return { ok: false, code: 'conflict', currentVersion: current?.version };
      }
      const version = nextVersion();
      objects.set(key, { version, body });
      if (recordChange) appendToHistory({ key, version, deleted: false });
      return { ok: true, version, created: current === undefined };
    },
    remove: (key, condition, recordChange) => {
      const current = objects.get(key);
      if (current === undefined) return { ok: false, code: 'not-found' };
      if (!isConditionMet(condition, current)) {
        return { ok: false, code: 'conflict', currentVersion: current.version };
      }
      const version = nextVersion();
      objects.delete(key);
      if (recordChange) appendToHistory({ key, version, deleted: true });
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
