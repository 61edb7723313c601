/** Waiting for new versions of the configuration. */
import { HISTORY_PREFIX, SNAPSHOT_KEY, parseHistoryKey } from './config-log.js';
import type { ConfigReadFailure } from './config-log.js';
import type { ConfigReader } from './config-reader.js';
import type { ConfigChangesOutcome, ConfigWatchRequest } from './config-types.js';
import type { ObjectClient } from './types.js';

/** Creates the function that waits for something newer than the caller's version. One call at a time. */
export const createConfigWatcher = (objects: ObjectClient, reader: ConfigReader) => {
  /** Version of the object service from which the next watch starts; undefined when changes may have been missed. */
  let cursor: number | undefined;

  const start = async (): Promise<number | ConfigReadFailure> => {
    // Lists one object at most; the answer carries the version of the whole service.
    const listed = await objects.list(SNAPSHOT_KEY);
    return listed.ok ? listed.version : listed;
  };

  const readAfter = async (
    version: number,
    nextCursor: number,
    to?: number,
  ): Promise<ConfigChangesOutcome> => {
    const changes = await reader.readSince(version, to);
    // After a failed read the events are spent, so the next watch has to start afresh.
    cursor = changes.ok ? nextCursor : undefined;
    return changes;
  };

  return async (request: ConfigWatchRequest): Promise<ConfigChangesOutcome> => {
    const { version, timeoutMs, signal } = request;
    if (cursor === undefined) {
      const started = await start();
      if (typeof started !== 'number') return started;
      // What was accepted before the watch begins is not among its events.
      const changes = await readAfter(version, started);
      if (!changes.ok || changes.kind === 'config' || changes.patches.length > 0) return changes;
    }
    const after = cursor ?? 0;
    const watched = await objects.watch({ prefix: HISTORY_PREFIX, after, timeoutMs, signal });
    if (!watched.ok) {
      cursor = undefined;
      return watched.code === 'expired' ? reader.readSince(version) : watched;
    }
    cursor = watched.version;
    const newest = Math.max(0, ...watched.events.map(({ key }) => parseHistoryKey(key) ?? 0));
    if (newest <= version) return { ok: true, kind: 'patches', patches: [] };
    return readAfter(version, watched.version, newest);
  };
};
