/** Keeps the store's records of versions and streams up to date. */
import type { DirectEffect } from '../events.js';
import type { RegisteredServer } from '../server-index.js';
import type { DirectState } from '../state.js';
import { RetryPolicy } from '../types.js';
import type { VersionEvent } from './types.js';

/** Delay after the store has failed to record versions. */
const RECORD_RETRY_MS = 200;
/** Minimum time between two writes of the journal; the first event of most streams takes longer. */
const MIN_WRITE_PERIOD_MS = 200;
/** Part of the store's rates that these records may use, over all routers. */
const RATE_FRACTION = 0.25;

const versionsByList = new WeakMap<readonly RegisteredServer[], string[]>();

/** Returns the versions of the servers of a service that accept requests; they are kept until a server changes. */
function listVersions(state: DirectState, service: string): string[] {
  const servers = state.registry.listAvailable(service);
  const known = versionsByList.get(servers);
  if (known !== undefined) return known;
  const versions = [...new Set(servers.map(({ entry }) => entry.softwareVersion))];
  versionsByList.set(servers, versions);
  return versions;
}

/** Returns the services to which routes with resumable streams lead. */
function listResumableServices({ routeTable }: DirectState): string[] {
  const routes = routeTable?.config.routes ?? [];
  return [
    ...new Set(
      routes.flatMap(({ retryPolicy, services }) =>
        retryPolicy === RetryPolicy.Resume ? services.map(({ service }) => service) : [],
      ),
    ),
  ];
}

function recordService(state: DirectState, service: string, nowMs: number): DirectEffect[] {
  const { recorded, recordAgainAtMs } = state.versions;
  const versions = listVersions(state, service);
  recorded.renew(service, versions, nowMs);
  const missing = versions.filter((version) => !recorded.has(service, version, nowMs));
  if (missing.length === 0 || nowMs < (recordAgainAtMs.get(service) ?? 0)) return [];
  recordAgainAtMs.set(service, Number.POSITIVE_INFINITY);
  return [{ kind: 'record-versions', service, versions: missing }];
}

/** Has the versions recorded at which servers accept requests. */
export function recordVersions(state: DirectState, nowMs: number): DirectEffect[] {
  return listResumableServices(state).flatMap((service) => recordService(state, service, nowMs));
}

/** Applies the store's answer. */
export function onVersionsRecorded(
  { versions: { recorded, recordAgainAtMs } }: DirectState,
  { service, versions }: Extract<VersionEvent, { kind: 'versions-recorded' }>,
  nowMs: number,
): DirectEffect[] {
  recordAgainAtMs.set(service, versions === undefined ? nowMs + RECORD_RETRY_MS : 0);
  if (versions === undefined) return [];
  recorded.apply(service, versions, nowMs);
  const fields = { service, versions: versions.join(',') };
  return [{ kind: 'note', event: 'versions-recorded', fields }];
}

/** Period in which each router makes one call if all of them share a part of the store's rate. */
export function sharedPeriodMs({ routerCount }: DirectState, callsPerSecond: number): number {
  return (1000 * routerCount) / (callsPerSecond * RATE_FRACTION);
}

/** Writes the journal to the store while versions are mixed, and once more when they no longer are. */
export function storeJournal(state: DirectState, nowMs: number): DirectEffect[] {
  const { recorded, journal, copy } = state.versions;
  const mixed = listResumableServices(state).filter(recorded.isMixed).sort();
  const mixedServices = mixed.join(' ');
  const isCurrent =
    copy.mixedServices === mixedServices &&
    (mixed.length === 0 || copy.changeCount === journal.changeCount());
  const periodMs = Math.max(
    MIN_WRITE_PERIOD_MS,
    sharedPeriodMs(state, state.options.store.writesPerSecond),
  );
  if (isCurrent || copy.isWriting || nowMs - copy.writtenAtMs < periodMs) return [];
  Object.assign(copy, {
    isWriting: true,
    writtenAtMs: nowMs,
    changeCount: journal.changeCount(),
    mixedServices,
  });
  const streams = journal.list((service) => mixed.includes(service), nowMs);
  return [{ kind: 'store-streams', streams }];
}

/** Applies the end of a write; a failed one is repeated. */
export function onStreamsStored({ versions: { copy } }: DirectState, ok: boolean): void {
  copy.isWriting = false;
  if (!ok) copy.changeCount = -1;
}
