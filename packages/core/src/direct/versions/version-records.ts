/** Keeps the store's records of versions and streams up to date. */
import type { DirectEffect } from '../events.js';
import type { RegisteredServer } from '../servers/server-index.js';
import type { DirectState } from '../state.js';
import { RetryPolicy } from '../types.js';
import type { FleetConfig } from '../types.js';
import { MIN_RESUMABLE_MS, resumableForMs } from './stream-journal.js';
import type { VersionEvent } from './types.js';
import { VersionChangeKind } from './version-record.js';

/** Delay after the store has failed to record versions without which requests wait, and after other failures. */
const URGENT_RETRY_MS = 200;
const RETRY_MS = 5000;
/** Minimum time between two writes of the journal; the first event of most streams takes longer. */
const MIN_WRITE_PERIOD_MS = 200;
/** Part of the store's rates that these records may use, over all routers. */
const RATE_FRACTION = 0.25;

const HASH_RANGE = 2 ** 32;

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

/** What the configuration says about streams that callers may resume. */
interface ResumableRoutes {
  /** Services to which these routes lead. */
  services: string[];
  /** Longest time for which callers are taken to wait for a stream, with all of their retries. */
  maxWaitMs: number;
}

const NO_ROUTES: ResumableRoutes = { services: [], maxWaitMs: MIN_RESUMABLE_MS };
const resumableByConfig = new WeakMap<FleetConfig, ResumableRoutes>();

/** Returns the routes with resumable streams; the result is kept until the configuration changes. */
function findResumableRoutes({ routeTable }: DirectState): ResumableRoutes {
  if (routeTable === undefined) return NO_ROUTES;
  const { config } = routeTable;
  const known = resumableByConfig.get(config);
  if (known !== undefined) return known;
  const routes = config.routes.filter(({ retryPolicy }) => retryPolicy === RetryPolicy.Resume);
  const found = {
    services: [
      ...new Set(routes.flatMap(({ services }) => services.map((entry) => entry.service))),
    ],
    maxWaitMs: Math.max(...routes.map(({ timeoutMs }) => resumableForMs(timeoutMs)), 0),
  };
  resumableByConfig.set(config, found);
  return found;
}

/** Period in which each router makes one call if all of them share a part of the store's rate. */
export function sharedPeriodMs({ routerCount }: DirectState, callsPerSecond: number): number {
  return (1000 * routerCount) / (callsPerSecond * RATE_FRACTION);
}

/** Spreads the calls of all routers, which learn of a new version at the same time. */
function recordDelayMs(state: DirectState): number {
  const { hasher, router, store } = state.options;
  const phase = hasher.hash32(router) / HASH_RANGE;
  return Math.floor(phase * sharedPeriodMs(state, store.readsPerSecond));
}

function recordService(
  state: DirectState,
  service: string,
  maxWaitMs: number,
  nowMs: number,
): DirectEffect[] {
  const { recorded, recordAgainAtMs } = state.versions;
  const versions = listVersions(state, service);
  recorded.renew(service, versions, nowMs);
  const change = recorded.findChange(service, versions, maxWaitMs, nowMs);
  if (change === undefined) return [];
  const againAtMs = recordAgainAtMs.get(service) ?? nowMs + recordDelayMs(state);
  recordAgainAtMs.set(service, againAtMs);
  if (nowMs < againAtMs) return [];
  recordAgainAtMs.set(service, Number.POSITIVE_INFINITY);
  return [{ kind: 'record-versions', service, change }];
}

/** Has the versions recorded at which servers accept requests, and those removed that no server has any more. */
export function recordVersions(state: DirectState, nowMs: number): DirectEffect[] {
  const { services, maxWaitMs } = findResumableRoutes(state);
  return services.flatMap((service) => recordService(state, service, maxWaitMs, nowMs));
}

/** Returns whether the versions of all services with servers have been recorded after the start, or could not be. */
export function areVersionsAttempted(state: DirectState): boolean {
  return findResumableRoutes(state).services.every(
    (service) =>
      state.versions.attemptedServices.has(service) || listVersions(state, service).length === 0,
  );
}

/** Applies the store's answer. */
export function onVersionsRecorded(
  { versions: { recorded, recordAgainAtMs, attemptedServices } }: DirectState,
  { service, change, record }: Extract<VersionEvent, { kind: 'versions-recorded' }>,
  nowMs: number,
): DirectEffect[] {
  attemptedServices.add(service);
  if (record === undefined) {
    const isUrgent =
      change.kind === VersionChangeKind.Use &&
      change.versions.some((version) => !recorded.has(service, version, nowMs));
    recordAgainAtMs.set(service, nowMs + (isUrgent ? URGENT_RETRY_MS : RETRY_MS));
    return [];
  }
  recordAgainAtMs.delete(service);
  const usedVersions = change.kind === VersionChangeKind.Use ? change.versions : [];
  recorded.apply(service, record, usedVersions, nowMs);
  const fields = {
    service,
    change: change.kind,
    changed: change.versions.join(','),
    versions: record.versions.join(','),
    unused: record.unused.join(','),
  };
  return [{ kind: 'note', event: 'versions-recorded', fields }];
}

/** Prunes the journal, and writes it to the store while versions are mixed, and once more when they no longer are. */
export function storeJournal(state: DirectState, nowMs: number): DirectEffect[] {
  const { recorded, journal, copy } = state.versions;
  journal.prune(nowMs);
  const mixed = findResumableRoutes(state).services.filter(recorded.isMixed).sort();
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
  const streams = journal.list((service) => mixed.includes(service));
  return [{ kind: 'store-streams', streams }];
}

/** Applies the end of a write; a failed one is repeated. */
export function onStreamsStored({ versions: { copy } }: DirectState, ok: boolean): void {
  copy.isWriting = false;
  if (!ok) copy.changeCount = -1;
}
