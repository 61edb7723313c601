/** Watches the object service for new versions of the configuration. */
import { HISTORY_PREFIX, SNAPSHOT_KEY, parseHistoryKey } from './config-log.js';
import type { ConfigReadFailure } from './config-log.js';
import type { ConfigReader } from './config-reader.js';
import type { ConfigChangesOutcome, ConfigWatchRequest } from './config-types.js';
import type { ObjectClient } from './types.js';

/** Creates the `watch` function of the configuration store, which doesn't support concurrent calls. */
export const createConfigWatcher = (objects: ObjectClient, reader: ConfigReader) => {
  /** Version of the object service after which the next watch starts; undefined if changes may have been missed. */
  let cursor: number | undefined;

  const readServiceVersion = async (): Promise<number | ConfigReadFailure> => {
    // Lists at most one object; the response includes the version of the whole object service.
    const listed = await objects.list(SNAPSHOT_KEY);
    return listed.ok ? listed.version : listed;
  };

  const readNewerThan = async (
    version: number,
    nextCursor: number,
    to?: number,
  ): Promise<ConfigChangesOutcome> => {
    const changes = await reader.readSince(version, to);
    // The events of the watch are lost after a failed read, so the next watch has to start over.
    cursor = changes.ok ? nextCursor : undefined;
    return changes;
  };

  return async (request: ConfigWatchRequest): Promise<ConfigChangesOutcome> => {
    const { version, timeoutMs, signal } = request;
    if (cursor === undefined) {
      const serviceVersion = await readServiceVersion();
      if (typeof serviceVersion !== 'number') return serviceVersion;
      // Versions accepted before the watch starts are not among its events.
      const changes = await readNewerThan(version, serviceVersion);
      if (!changes.ok || changes.kind === 'config' || changes.patches.length > 0) return changes;
    }
    const after = cursor ?? 0;
    const watched = await objects.watch({ prefix: HISTORY_PREFIX, after, timeoutMs, signal });
    if (!watched.ok) {
      cursor = undefined;
      return watched.code === 'expired' ? reader.readSince(version) : watched;
    }
    cursor = watched.version;
    const newestVersion = Math.max(
      0,
      ...watched.events.map(({ key }) => parseHistoryKey(key) ?? 0),
    );
    if (newestVersion <= version) return { ok: true, kind: 'patches', patches: [] };
    return readNewerThan(version, watched.version, newestVersion);
  };
};
