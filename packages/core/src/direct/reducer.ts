/** Reducer of the direct router: one table of handlers over all events. */
import type { Step } from '../loop/index.js';
import type { DirectEffect, DirectEvent } from './events.js';
import { extraRoundTripMs } from './placement.js';
import { applyPeerReport, removePeer } from './reports.js';
import {
  expireRequests,
  onAttemptBegun,
  onAttemptEnded,
  onCallerLeft,
  onEventsDelivered,
  onRequest,
} from './requests.js';
import { createRouteTable } from './route-table.js';
import { getServerState } from './state.js';
import type { DirectState } from './state.js';

type EventOf<TKind extends DirectEvent['kind']> = Extract<DirectEvent, { kind: TKind }>;
type Handlers = {
  [TKind in DirectEvent['kind']]: (state: DirectState, event: EventOf<TKind>) => DirectEffect[];
};

function forgetServers(state: DirectState, keys: string[]): DirectEffect[] {
  return keys.map((key) => {
    state.servers.delete(key);
    return { kind: 'note', event: 'server-gone', fields: { server: key } };
  });
}

function configure(state: DirectState, event: EventOf<'configured'>): DirectEffect[] {
  const { config } = event;
  const current = state.routeTable?.config.version;
  if (current !== undefined && config.version <= current) return [];
  state.routeTable = createRouteTable(config);
  const fields = { version: config.version, routes: config.routes.length };
  return [{ kind: 'note', event: 'configuration-in-force', fields }];
}

function changeServer(state: DirectState, event: EventOf<'server-changed'>): DirectEffect[] {
  const { id, draining, service, zone } = event.entry;
  const gone = state.registry.put(event.entry);
  const fields = { server: id, draining, service, zone };
  return [...forgetServers(state, gone), { kind: 'note', event: 'server-changed', fields }];
}

/** Engines that a starting router asks at most: where there are many, routers ask those that are near. */
const MOST_ASKED = 64;

/**
 * A router that starts asks each engine once what it keeps: engines outlive routers, and a router that believes their memories
 * empty would predict late first events and refuse.
 */
function askKept(state: DirectState): DirectEffect[] {
  const { routeTable: table } = state;
  if (state.cachesRequested || table === undefined || !state.hasServerList) return [];
  state.cachesRequested = true;
  return state.registry
    .all()
    .filter(({ entry }) => table.findService(entry.service)?.engine !== undefined)
    .sort((a, b) => extraRoundTripMs(state, a.entry.zone) - extraRoundTripMs(state, b.entry.zone))
    .slice(0, MOST_ASKED)
    .map(({ key, entry: { host, port } }) => ({ kind: 'list-kept', serverKey: key, host, port }));
}

function noteKept(
  state: DirectState,
  { serverKey: server, promptParts: parts }: EventOf<'kept-listed'>,
): DirectEffect[] {
  const known = state.registry.get(server);
  if (known !== undefined) getServerState(state, known).load.prefixCache.record(parts);
  const fields = { server, parts: parts.length };
  return [{ kind: 'note', event: 'kept-listed', fields }];
}

const HANDLERS: Handlers = {
  configured: configure,
  'servers-listed': (state, { entries, nowMs }) => {
    state.hasServerList = true;
    return forgetServers(state, state.registry.replaceAll(entries, nowMs));
  },
  'server-changed': changeServer,
  'server-removed': (state, { id, nowMs }) =>
    forgetServers(state, state.registry.remove(id, nowMs)),
  'store-answered': (state, { nowMs }) => {
    state.registry.recordStoreAnswer(nowMs);
    return [];
  },
  request: (state, { request, attributes: facts, draw, nowMs }) =>
    onRequest(state, request, facts, draw, nowMs),
  'attempt-begun': (state, { attempt, nowMs }) => onAttemptBegun(state, attempt, nowMs),
  'events-delivered': (state, { request, lastEventId }) =>
    onEventsDelivered(state, request, lastEventId),
  'attempt-ended': (state, { attempt, outcome: end, detail, nowMs }) =>
    onAttemptEnded(state, attempt, end, detail, nowMs),
  'caller-left': (state, { request, nowMs }) => onCallerLeft(state, request, nowMs),
  'kept-listed': noteKept,
  'peer-report': (state, { report, nowMs }) => {
    applyPeerReport(state, report, nowMs);
    return [];
  },
  'peer-gone': (state, { router }) => {
    removePeer(state, router);
    return [];
  },
  'peers-counted': (state, { routerCount: routers }) => {
    state.routerCount = routers;
    return [];
  },
  tick: (state, { nowMs }) => [
    ...askKept(state),
    ...forgetServers(state, state.registry.expire(nowMs)),
    ...expireRequests(state, nowMs),
  ],
};

/** Applies one event. */
export function directReducer(
  state: DirectState,
  event: DirectEvent,
): Step<DirectState, DirectEffect> {
  const handle = HANDLERS[event.kind] as (state: DirectState, event: DirectEvent) => DirectEffect[];
  return { state, effects: handle(state, event) };
}
