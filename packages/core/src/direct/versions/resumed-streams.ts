/** Finds the version that began a stream which a caller resumes. What isn't certain stays unknown. */
import { groupBy } from '../../collections/index.js';
import type { DirectEffect } from '../events.js';
import type { DirectState } from '../state.js';
import type { RequestAttributes } from '../types.js';
import type { StreamOrigin } from './stream-journal.js';
import type { StreamRecords } from './types.js';
import { sharedPeriodMs } from './version-records.js';

/** Starts a read of the store's records for all waiting requests, unless one is in progress or was begun just before. */
export function readRecords(state: DirectState, nowMs: number): DirectEffect[] {
  const { versions } = state;
  const periodMs = sharedPeriodMs(state, state.options.store.readsPerSecond);
  if (versions.reading !== undefined || versions.waiting.size === 0) return [];
  if (nowMs - versions.readAtMs < periodMs) return [];
  // A later request may resume a stream that begins after this read.
  versions.reading = versions.waiting;
  versions.waiting = new Map();
  versions.readAtMs = nowMs;
  return [{ kind: 'read-streams' }];
}

/** Returns the versions of all servers by service, also of those that leave. */
function listServiceVersions({ registry }: DirectState): Map<string, Set<string>> {
  const byService = groupBy(registry.all(), ({ entry }) => entry.service);
  return new Map(
    [...byService].map(([service, servers]) => [
      service,
      new Set(servers.map(({ entry }) => entry.softwareVersion)),
    ]),
  );
}

/** Origins of streams by their ids, as the routers have recorded them. */
export type RecordedOrigins = Map<string, StreamOrigin[]>;

function addOrigin(origins: RecordedOrigins, streamId: string, origin: StreamOrigin): void {
  const known = origins.get(streamId) ?? [];
  const isKnown = known.some(
    ({ service, version }) => service === origin.service && version === origin.version,
  );
  if (!isKnown) origins.set(streamId, [...known, origin]);
}

/** Looks up streams in the records of all routers, which may be large, in one pass. */
export function findRecordedOrigins(
  { streams }: StreamRecords,
  streamIds: ReadonlySet<string>,
): RecordedOrigins {
  const origins: RecordedOrigins = new Map();
  streams.forEach((byService) => {
    Object.entries(byService).forEach(([service, byVersion]) => {
      Object.entries(byVersion).forEach(([version, ids]) => {
        ids.forEach((streamId) => {
          if (streamIds.has(streamId)) addOrigin(origins, streamId, { service, version });
        });
      });
    });
  });
  return origins;
}

/**
 * Returns a function that finds where a stream began; undefined if it isn't certain. A stream that no router has recorded is certain
 * only if no other version may have begun streams of the service.
 */
export function createOriginFinder(
  state: DirectState,
  records: StreamRecords,
  streamIds: ReadonlySet<string>,
): (attributes: RequestAttributes) => StreamOrigin | undefined {
  const recordedOrigins = findRecordedOrigins(records, streamIds);
  const listedVersions = listServiceVersions(state);
  return ({ service, streamId }) => {
    const known = streamId === undefined ? undefined : state.versions.journal.find(streamId);
    if (known !== undefined) return known;
    const recorded = (streamId !== undefined && recordedOrigins.get(streamId)) || [];
    if (recorded.length > 0) return recorded.length === 1 ? recorded[0] : undefined;
    const inService = records.versions.get(service);
    if (inService === undefined) return undefined;
    const possible = [...new Set([...inService, ...(listedVersions.get(service) ?? [])])];
    return possible.length === 1 ? { service, version: possible[0]! } : undefined;
  };
}
