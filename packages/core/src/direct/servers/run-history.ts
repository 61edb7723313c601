/** What is known for good about runs of backend servers, whatever the store lists later. */
import { createBoundedSet } from '../bounded-set.js';

/** Final facts about runs, by their keys. */
export interface RunHistory {
  /** Records that a run leaves. Returns whether that is new. */
  recordLeaving(key: string): boolean;
  isLeaving(key: string): boolean;
  recordRemoval(key: string): void;
  /** Records that the server has written its entry. */
  recordEntry(key: string): void;
  /** Returns whether the entry of the run was removed and hasn't been written since. */
  isRemoved(key: string): boolean;
}

/** Number of removed and of leaving runs that are remembered, a few times those that leave within a store's copy age. */
const MAX_REMEMBERED_KEYS = 4096;

/** Creates a history without runs. */
export function createRunHistory(): RunHistory {
  const leaving = createBoundedSet(MAX_REMEMBERED_KEYS);
  const removed = createBoundedSet(MAX_REMEMBERED_KEYS);
  return {
    recordLeaving(key) {
      const isNew = !leaving.has(key);
      leaving.add(key);
      return isNew;
    },
    isLeaving: leaving.has,
    recordRemoval: removed.add,
    recordEntry: removed.remove,
    isRemoved: removed.has,
  };
}
