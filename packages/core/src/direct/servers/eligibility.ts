/** Which backend servers may get a request now, and if none may, why not and for how long. */
import type { DirectState, OpenRequest, ServerState } from '../state.js';
import { getServerState } from '../state.js';
import { RetryPolicy } from '../types.js';
import { createRegionFilter } from './regions.js';
import type { RegisteredServer } from './server-index.js';

/** Why a server may not get a request. */
export const Ineligibility = {
  /** The route or the client account doesn't allow the region of the server. */
  Region: 'region_not_allowed',
  /** The availability zone of the server is evacuated, or it isn't known yet which zones are. */
  Evacuated: 'zone_evacuated',
  /** A stream may not begin or go on at the version of the server's software. */
  Version: 'version_not_allowed',
  /** The server has asked for a pause, or its limit of requests per second is used up. */
  Limited: 'limited',
  /** The server is warming up, and this router's part of what it takes is used up. */
  WarmingUp: 'warming_up',
  /** Connections to the server have failed. */
  Unreachable: 'unreachable',
} as const;
export type Ineligibility = (typeof Ineligibility)[keyof typeof Ineligibility];

/** Reason with the time until the server may be asked again; infinite if that depends on a change. */
export interface IneligibleServer {
  reason: Ineligibility;
  waitMs: number;
}

/** Server that may get a request. */
export interface EligibleServer {
  server: RegisteredServer;
  serverState: ServerState;
  failureRate: number;
}

/** Returns the time for which a server doesn't pass a check; 0 if it passes. */
type Check = (server: RegisteredServer, nowMs: number) => number;
type NamedCheck = [reason: Ineligibility, check: Check];

/** Time until this router may send to a server: it has asked for a pause or has a limit. */
export function requestedWaitMs(
  { servers, serverLimits, serviceDemand, routerCount }: DirectState,
  { key, entry }: RegisteredServer,
  nowMs: number,
): number {
  const deferralMs = (servers.get(key)?.deferredUntilMs ?? 0) - nowMs;
  const limit = serverLimits.get(key);
  if (limit === undefined) return deferralMs;
  const fraction = serviceDemand.ownFraction(entry.service, routerCount, nowMs);
  return Math.max(deferralMs, limit.waitMs(fraction, nowMs));
}

/** Returns whether a server takes a request now that isn't a caller's, such as a query of its cache. */
export function takesQueries(state: DirectState, server: RegisteredServer, nowMs: number): boolean {
  const waitMs = Math.max(
    requestedWaitMs(state, server, nowMs),
    state.warmUpLimits.waitMs(server.key, nowMs),
  );
  return isZoneOpen(state, server) && waitMs <= 0;
}

/** Returns whether a server is in a zone that isn't evacuated. */
function isZoneOpen({ evacuations }: DirectState, { entry }: RegisteredServer): boolean {
  return evacuations.isKnown() && !evacuations.isEvacuated(entry.zone);
}

/** After failed connections, a server gets one probe request at a time once its backoff has elapsed. */
function unreachableMs({ health, unansweredAttempts }: ServerState, nowMs: number): number {
  const avoidUntilMs = health.avoidUntilMs();
  if (avoidUntilMs === 0) return 0;
  return nowMs >= avoidUntilMs && unansweredAttempts === 0 ? 0 : Math.max(1, avoidUntilMs - nowMs);
}

const waitFor = (isEligible: boolean): number => (isEligible ? 0 : Number.POSITIVE_INFINITY);

/** Streams begin and go on only at versions that are certain for those who resume them. */
function createVersionCheck(
  { versions: { recorded } }: DirectState,
  { attributes: { route }, version }: OpenRequest,
): Check {
  if (route.retryPolicy !== RetryPolicy.Resume) return () => 0;
  if (version !== undefined) return ({ entry }) => waitFor(entry.softwareVersion === version);
  return ({ entry }, nowMs) => waitFor(recorded.has(entry.service, entry.softwareVersion, nowMs));
}

/** Returns the checks of a request, the most lasting first. */
function createChecks(state: DirectState, request: OpenRequest): NamedCheck[] {
  const isAllowedZone = createRegionFilter(state, request.attributes);
  return [
    [Ineligibility.Region, ({ entry }) => waitFor(isAllowedZone(entry.zone))],
    [Ineligibility.Evacuated, (server) => waitFor(isZoneOpen(state, server))],
    [Ineligibility.Version, createVersionCheck(state, request)],
    [Ineligibility.Limited, (server, nowMs) => requestedWaitMs(state, server, nowMs)],
    [Ineligibility.WarmingUp, ({ key }, nowMs) => state.warmUpLimits.waitMs(key, nowMs)],
    [
      Ineligibility.Unreachable,
      (server, nowMs) => unreachableMs(getServerState(state, server), nowMs),
    ],
  ];
}

function findIneligibility(
  checks: readonly NamedCheck[],
  server: RegisteredServer,
  nowMs: number,
): IneligibleServer | undefined {
  // A loop, since it runs for each server and request.
  for (const [reason, check] of checks) {
    const waitMs = check(server, nowMs);
    if (waitMs > 0) return { reason, waitMs };
  }
  return undefined;
}

/** Servers that may get one request. */
export interface Eligibility {
  /** Returns those of `servers` that may get the request. */
  filter(servers: readonly RegisteredServer[], nowMs: number): EligibleServer[];
}

/** Creates the conditions on the servers that may get a request. */
export function createEligibility(state: DirectState, request: OpenRequest): Eligibility {
  const checks = createChecks(state, request);
  return {
    filter: (servers, nowMs) =>
      servers
        .filter((server) => findIneligibility(checks, server, nowMs) === undefined)
        .map((server) => {
          const serverState = getServerState(state, server);
          return { server, serverState, failureRate: serverState.health.failureRate(nowMs) };
        }),
  };
}

/** Why no server of a service may get a request. */
export interface NoServerReason {
  /** Reason of the server that may be asked first; undefined if the service has no servers. */
  reason: Ineligibility | undefined;
  /** Time until that; infinite if it depends on a change. */
  waitMs: number;
  /** Numbers of servers by reason, for logs. */
  serversByReason: Partial<Record<Ineligibility, number>>;
}

/** Explains why no server may get a request. */
export function explainNoServer(
  state: DirectState,
  request: OpenRequest,
  nowMs: number,
): NoServerReason {
  const checks = createChecks(state, request);
  const found = state.registry
    .listAvailable(request.attributes.service)
    .flatMap((server) => findIneligibility(checks, server, nowMs) ?? []);
  const serversByReason: NoServerReason['serversByReason'] = {};
  found.forEach(({ reason }) => {
    serversByReason[reason] = (serversByReason[reason] ?? 0) + 1;
  });
  const [first] = found.sort((a, b) => a.waitMs - b.waitMs);
  return {
    reason: first?.reason,
    waitMs: first?.waitMs ?? Number.POSITIVE_INFINITY,
    serversByReason,
  };
}
