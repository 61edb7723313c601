/** Reducer of the direct router, with one handler per kind of event. */
import type { ReducerResult } from '../reducer/index.js';
import { onRequest, onStreamsRead } from './arrivals.js';
import { applyCrashNews, blockCulprits } from './crashes/crash-evidence.js';
import type { DirectEffect, DirectEvent } from './events.js';
import { extraRoundTripMs } from './placement.js';
import { applyPeerReport, removePeer } from './reports.js';
import {
  endOpenRequests,
  expireRequests,
  onAttemptBegun,
  onAttemptEnded,
  onCallerLeft,
  onConnectionSilent,
  onEventsDelivered,
  onRequestFailed,
} from './requests.js';
import { createRouteTable } from './route-table.js';
import { examineQuiet } from './silent-attempts.js';
import { takesQueries } from './servers/eligibility.js';
import { recordWarmUp, recordZoneWarmUp } from './servers/warm-up.js';
import type { Evacuation, EvacuationChanges } from './servers/evacuations.js';
import { getServerState, isReadyToRoute, recordSend } from './state.js';
import type { DirectState } from './state.js';
import { readRecords } from './versions/resumed-streams.js';
import {
  onStreamsStored,
  onVersionsRecorded,
  recordVersions,
  storeJournal,
} from './versions/version-records.js';

type EventOf<TKind extends DirectEvent['kind']> = Extract<DirectEvent, { kind: TKind }>;
type Handlers = {
  [TKind in DirectEvent['kind']]: (state: DirectState, event: EventOf<TKind>) => DirectEffect[];
};

function removeServers(state: DirectState, keys: string[], nowMs: number): DirectEffect[] {
  if (keys.length === 0) return [];
  state.serverLimits.prune((key) => state.registry.get(key) !== undefined, nowMs);
  return keys.map((key) => {
    state.servers.delete(key);
    state.warmUpLimits.forget(key);
    state.endedServerKeys.add(key);
    return { kind: 'note', event: 'server-gone', fields: { server: key } };
  });
}

function applyConfiguration(state: DirectState, event: EventOf<'configured'>): DirectEffect[] {
  const { config } = event;
  const currentVersion = state.routeTable?.config.version;
  if (currentVersion !== undefined && config.version <= currentVersion) return [];
  state.routeTable = createRouteTable(config);
  const routeNames = new Set(config.routes.map(({ name }) => name));
  const isConfigured = (name: string): boolean => routeNames.has(name);
  state.runDurations.prune(isConfigured);
  state.answerDelays.prune(isConfigured);
  state.eventGaps.prune(isConfigured);
  const fields = { version: config.version, routes: config.routes.length };
  return [
    { kind: 'note', event: 'configuration-in-force', fields },
    ...recordVersions(state, event.nowMs),
  ];
}

/** @param source who stated it: the server's own answer or a peer */
function noteLeaving(server: string, source: 'answer' | 'peer'): DirectEffect {
  return { kind: 'note', event: 'server-leaving', fields: { server, source } };
}

function applyServerChange(state: DirectState, event: EventOf<'server-changed'>): DirectEffect[] {
  const { id, draining, service, zone } = event.entry;
  const warmUpEffects = recordWarmUp(state, event.entry, event.nowMs);
  const removedKeys = state.registry.put(event.entry);
  const fields = { server: id, draining, service, zone };
  return [
    ...removeServers(state, removedKeys, event.nowMs),
    { kind: 'note', event: 'server-changed', fields },
    ...warmUpEffects,
    ...recordVersions(state, event.nowMs),
  ];
}

/** @param source who stated it: the server's own answer or a peer */
function noteLimit(
  { serverLimits }: DirectState,
  server: string,
  source: 'answer' | 'peer',
): DirectEffect {
  const requestsPerSecond = serverLimits.get(server)?.requestsPerSecond();
  return requestsPerSecond === undefined
    ? { kind: 'note', event: 'server-limit-lifted', fields: { server, source } }
    : { kind: 'note', event: 'server-limited', fields: { server, source, requestsPerSecond } };
}

function applyStatedLimit(
  state: DirectState,
  { serverKey, announcement, requestSentAtMs, nowMs }: EventOf<'server-announced'>,
): DirectEffect[] {
  const { requestsPerSecond, invalidLimit } = announcement;
  if (invalidLimit !== undefined) {
    const fields = { server: serverKey, limit: invalidLimit };
    return [{ kind: 'note', event: 'server-limit-malformed', fields }];
  }
  const { serverLimits } = state;
  const hasChanged = serverLimits.recordAnswer(
    serverKey,
    requestsPerSecond,
    requestSentAtMs,
    nowMs,
  );
  return hasChanged ? [noteLimit(state, serverKey, 'answer')] : [];
}

function applyPeerLimits(
  state: DirectState,
  { report, nowMs }: EventOf<'peer-report'>,
): DirectEffect[] {
  return report.limits
    .filter((limit) => state.serverLimits.recordPeerLimit(limit, nowMs))
    .map(({ serverKey }) => noteLimit(state, serverKey, 'peer'));
}

/** Maximum time for which a server is left alone because it asked for it; a longer one is taken for a mistake. */
const MAX_DEFERRAL_MS = 300_000;

function applyAnnouncement(state: DirectState, event: EventOf<'server-announced'>): DirectEffect[] {
  const { serverKey, announcement, nowMs } = event;
  const effects = applyStatedLimit(state, event);
  const server = state.registry.get(serverKey);
  if (server === undefined) return effects;
  const { leaving, retryAfterMs, invalidRetryAfter } = announcement;
  if (leaving && state.registry.markLeaving(serverKey)) {
    state.leavingNews.push(serverKey);
    effects.push(noteLeaving(serverKey, 'answer'));
  }
  if (retryAfterMs !== undefined) {
    const serverState = getServerState(state, server);
    const deferralMs = Math.min(retryAfterMs, MAX_DEFERRAL_MS);
    serverState.deferredUntilMs = Math.max(serverState.deferredUntilMs, nowMs + deferralMs);
    const fields = { server: serverKey, retryAfterMs };
    effects.push({ kind: 'note', event: 'server-deferred', fields });
  }
  if (invalidRetryAfter !== undefined) {
    const fields = { server: serverKey, retryAfter: invalidRetryAfter };
    effects.push({ kind: 'note', event: 'retry-after-malformed', fields });
  }
  return effects;
}

/** Maximum number of engines queried at startup; in larger pools, the nearest engines are queried. */
const MAX_CACHE_QUERIES = 64;

/**
 * Requests the cache contents of the engines once after startup. Engines outlive routers: a router that assumed empty caches would
 * overestimate the time to the first event and refuse requests.
 */
function requestCacheContents(state: DirectState, nowMs: number): DirectEffect[] {
  const { routeTable } = state;
  if (state.cachesRequested || routeTable === undefined || !isReadyToRoute(state)) return [];
  state.cachesRequested = true;
  return state.registry
    .all()
    .filter(({ entry }) => routeTable.findService(entry.service)?.engine !== undefined)
    .filter((server) => takesQueries(state, server, nowMs))
    .sort((a, b) => extraRoundTripMs(state, a.entry.zone) - extraRoundTripMs(state, b.entry.zone))
    .slice(0, MAX_CACHE_QUERIES)
    .map((server) => {
      recordSend(state, server, nowMs);
      const { host, port } = server.entry;
      return { kind: 'list-kept', serverKey: server.key, host, port };
    });
}

function recordCacheContents(
  state: DirectState,
  { serverKey, promptParts }: EventOf<'kept-listed'>,
): DirectEffect[] {
  const server = state.registry.get(serverKey);
  if (server !== undefined) getServerState(state, server).load.prefixCache.record(promptParts);
  const fields = { server: serverKey, parts: promptParts.length };
  return [{ kind: 'note', event: 'kept-listed', fields }];
}

function applyEvacuations(
  state: DirectState,
  changes: EvacuationChanges,
  nowMs: number,
): DirectEffect[] {
  const note =
    (event: string) =>
    ({ zone, revision }: Evacuation): DirectEffect => ({
      kind: 'note',
      event,
      fields: { zone, revision },
    });
  return [
    ...changes.evacuated.map(note('zone-evacuated')),
    ...changes.withdrawn.map(note('zone-evacuation-withdrawn')),
    ...changes.withdrawn.flatMap(({ zone }) => recordZoneWarmUp(state, zone, nowMs)),
  ];
}

const HANDLERS: Handlers = {
  configured: applyConfiguration,
  'servers-listed': (state, { entries, nowMs }) => {
    const warmUpEffects = entries.flatMap((entry) => recordWarmUp(state, entry, nowMs));
    state.hasServerList = true;
    const removedKeys = state.registry.replaceAll(entries, nowMs);
    return [
      ...removeServers(state, removedKeys, nowMs),
      ...warmUpEffects,
      ...recordVersions(state, nowMs),
    ];
  },
  'server-changed': applyServerChange,
  'evacuations-listed': (state, { evacuations, nowMs }) =>
    applyEvacuations(state, state.evacuations.replaceAll(evacuations, nowMs), nowMs),
  'zone-evacuated': (state, { evacuation, nowMs }) =>
    applyEvacuations(state, state.evacuations.add(evacuation, nowMs), nowMs),
  'evacuation-withdrawn': (state, { zone, nowMs }) =>
    applyEvacuations(state, state.evacuations.remove(zone), nowMs),
  'server-announced': applyAnnouncement,
  'store-restored': (state, { nowMs }) => {
    state.registry.recordRestore(nowMs);
    // The restored copy may lack versions and streams that were recorded after it was made.
    state.versions.recorded.clear();
    state.versions.copy.changeCount = -1;
    return recordVersions(state, nowMs);
  },
  'server-removed': (state, { id, nowMs }) =>
    removeServers(state, state.registry.remove(id, nowMs), nowMs),
  'store-answered': (state, { nowMs }) => {
    state.registry.recordStoreAnswer(nowMs);
    return [];
  },
  request: (state, { request, attributes, draw, nowMs }) =>
    onRequest(state, request, attributes, draw, nowMs),
  'attempt-begun': (state, { attempt, nowMs }) => onAttemptBegun(state, attempt, nowMs),
  'events-delivered': (state, { request, lastEventId, nowMs }) =>
    onEventsDelivered(state, request, lastEventId, nowMs),
  'attempt-ended': (state, { attempt, outcome, detail, nowMs }) =>
    onAttemptEnded(state, attempt, outcome, detail, nowMs),
  'connection-silent': (state, { attempt, nowMs }) => onConnectionSilent(state, attempt, nowMs),
  'caller-left': (state, { request, nowMs }) => onCallerLeft(state, request, nowMs),
  'request-failed': (state, { request, detail, nowMs }) =>
    onRequestFailed(state, request, detail, nowMs),
  'kept-listed': recordCacheContents,
  'peer-report': (state, event) => [
    ...applyPeerReport(state, event.report, event.nowMs).map((key) => noteLeaving(key, 'peer')),
    ...applyCrashNews(state.crashEvidence, event.report.crashNews, event.nowMs),
    ...applyPeerLimits(state, event),
  ],
  'peer-gone': (state, { router }) => {
    removePeer(state, router);
    return [];
  },
  'peers-listed': (state, { routers }) => {
    state.routerCount = routers.length;
    state.warmUpLimits.setRouters(routers);
    return [];
  },
  'drain-started': (state, { endsAtMs, nowMs }) => {
    state.drainEndsAtMs = endsAtMs;
    state.drainMs = endsAtMs - nowMs;
    return [];
  },
  'drain-ended': (state, { nowMs }) => endOpenRequests(state, nowMs),
  tick: (state, { nowMs }) => [
    ...requestCacheContents(state, nowMs),
    ...removeServers(state, state.registry.expire(nowMs), nowMs),
    ...expireRequests(state, nowMs),
    ...examineQuiet(state, nowMs),
    ...blockCulprits(state.crashEvidence, nowMs),
    ...recordVersions(state, nowMs),
    ...storeJournal(state, nowMs),
    ...readRecords(state, nowMs),
  ],
  'versions-recorded': (state, event) => onVersionsRecorded(state, event, event.nowMs),
  'streams-stored': (state, { ok }) => {
    onStreamsStored(state, ok);
    return [];
  },
  'streams-read': (state, { records, nowMs }) => onStreamsRead(state, records, nowMs),
};

/** Applies one event. */
export function directReducer(
  state: DirectState,
  event: DirectEvent,
): ReducerResult<DirectState, DirectEffect> {
  const handle = HANDLERS[event.kind] as (state: DirectState, event: DirectEvent) => DirectEffect[];
  return { state, effects: handle(state, event) };
}
