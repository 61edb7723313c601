/**
 * Limits of servers that are warming up. A service states how many requests per second a cold server takes from all routers together.
 * Each router derives its part from the names of the routers alone, so the parts never add up to more, also while routers can't
 * reach each other.
 */
import { rendezvousOrder } from '../../../hash/index.js';
import type { Hasher } from '../../../hash/index.js';
import type { ColdServerSpec } from '../../types.js';

/** Servers that are warming up, as this router knows them. */
export interface WarmUpLimits {
  /** Sets the names of all routers, including this one. Until then, cold servers get no requests. */
  setRouters(names: readonly string[]): void;
  /** Records that a server is cold for `coldForMs` from now, or no longer if that is 0. Returns whether it was cold before. */
  record(serverKey: string, spec: ColdServerSpec, coldForMs: number, nowMs: number): boolean;
  /** Time for which a server stays cold; 0 if it is warm. */
  coldForMs(serverKey: string, nowMs: number): number;
  /** Time until this router may send a request to a server; 0 if it may now. */
  waitMs(serverKey: string, nowMs: number): number;
  recordSend(serverKey: string, nowMs: number): void;
  forget(serverKey: string): void;
}

interface ColdServer {
  coldUntilMs: number;
  requestsPerSecond: number;
  /** Time at which this router learnt that the server is cold. */
  sinceMs: number;
  /** Time of this router's last request to it since then; undefined if there was none. */
  lastSendMs: number | undefined;
}

const HASH_RANGE = 2 ** 32;

/** Options of the limits. */
export interface WarmUpLimitsOptions {
  hasher: Hasher;
  /** Name of this router. */
  self: string;
}

/**
 * Returns the shortest time between two requests of a router to a cold server; infinite if others have all of the limit. With more routers
 * than requests per second, only some of them send to a server, and others to another one.
 */
export function warmUpPeriodMs(
  { hasher, self }: WarmUpLimitsOptions,
  routers: readonly string[],
  serverKey: string,
  requestsPerSecond: number,
): number {
  const ownPerSecond = Math.floor(requestsPerSecond / routers.length);
  if (ownPerSecond >= 1) return 1000 / ownPerSecond;
  const senders = Math.max(1, Math.floor(requestsPerSecond));
  const isSender = rendezvousOrder(hasher, serverKey, routers).slice(0, senders).includes(self);
  return isSender ? 1000 / Math.min(1, requestsPerSecond) : Number.POSITIVE_INFINITY;
}

/** Creates the limits of a router that knows of no cold servers. */
export function createWarmUpLimits(options: WarmUpLimitsOptions): WarmUpLimits {
  const { hasher, self } = options;
  const coldServers = new Map<string, ColdServer>();
  let routers: readonly string[] = [];
  /** Periods by server; derived from the names. */
  const periodsMs = new Map<string, number>();

  function periodMs(serverKey: string, requestsPerSecond: number): number {
    if (routers.length === 0) return Number.POSITIVE_INFINITY;
    const known = periodsMs.get(serverKey);
    if (known !== undefined) return known;
    const period = warmUpPeriodMs(options, routers, serverKey, requestsPerSecond);
    periodsMs.set(serverKey, period);
    return period;
  }

  function nextSendMs(serverKey: string, cold: ColdServer): number {
    const period = periodMs(serverKey, cold.requestsPerSecond);
    if (!Number.isFinite(period)) return period;
    if (cold.lastSendMs !== undefined) return cold.lastSendMs + period;
    // Routers learn of a cold server together; they begin at different times.
    return cold.sinceMs + (period * hasher.hash32(`${self} ${serverKey}`)) / HASH_RANGE;
  }

  function findCold(serverKey: string, nowMs: number): ColdServer | undefined {
    const cold = coldServers.get(serverKey);
    if (cold === undefined || nowMs < cold.coldUntilMs) return cold;
    coldServers.delete(serverKey);
    periodsMs.delete(serverKey);
    return undefined;
  }

  return {
    setRouters(names) {
      routers = [...new Set([...names, self])];
      periodsMs.clear();
    },
    record(serverKey, { requestsPerSecond }, coldForMs, nowMs) {
      const known = findCold(serverKey, nowMs);
      if (coldForMs > 0 && requestsPerSecond > 0) {
        const { sinceMs, lastSendMs } = known ?? { sinceMs: nowMs, lastSendMs: undefined };
        const coldUntilMs = nowMs + coldForMs;
        coldServers.set(serverKey, { coldUntilMs, requestsPerSecond, sinceMs, lastSendMs });
      } else coldServers.delete(serverKey);
      return known !== undefined;
    },
    coldForMs: (serverKey, nowMs) =>
      Math.max(0, (findCold(serverKey, nowMs)?.coldUntilMs ?? 0) - nowMs),
    waitMs(serverKey, nowMs) {
      const cold = findCold(serverKey, nowMs);
      if (cold === undefined) return 0;
      const untilWarmMs = cold.coldUntilMs - nowMs;
      return Math.max(0, Math.min(untilWarmMs, nextSendMs(serverKey, cold) - nowMs));
    },
    recordSend(serverKey, nowMs) {
      const cold = coldServers.get(serverKey);
      if (cold !== undefined) cold.lastSendMs = nowMs;
    },
    forget(serverKey) {
      coldServers.delete(serverKey);
      periodsMs.delete(serverKey);
    },
  };
}
