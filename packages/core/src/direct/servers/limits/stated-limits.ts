/** Limits that backend servers state on the requests per second from all routers together. A limit belongs to one run of a server. */
import { createServerLimit } from './stated-limit.js';
import type { ServerLimit } from './stated-limit.js';

/** What a server has stated last, as routers tell it to each other. */
export interface ReportedServerLimit {
  serverKey: string;
  /** Undefined if the server has stated that it has no limit any more. */
  requestsPerSecond: number | undefined;
  /** Time since the statement. */
  ageMs: number;
}

/** Limits of all servers, as this router knows them. */
export interface ServerLimits {
  /**
   * Records what an answer states. An answer without a limit lifts it only if its request was sent after the limit had been stated.
   * Returns whether the limit has changed.
   */
  recordAnswer(
    serverKey: string,
    requestsPerSecond: number | undefined,
    requestSentAtMs: number,
    nowMs: number,
  ): boolean;
  /** Records what a peer knows; the later statement holds. Returns whether the limit has changed. */
  recordPeerLimit(limit: ReportedServerLimit, nowMs: number): boolean;
  /** Limit of a server, also if it has been lifted; undefined if none is known. */
  get(serverKey: string): ServerLimit | undefined;
  /** Removes and returns the keys of the servers of which there is news for peers. */
  takeNews(): string[];
  /** Returns what is known of the servers that have stated a limit. */
  describe(serverKeys: readonly string[], nowMs: number): ReportedServerLimit[];
  /** Keys of the servers that have a limit. */
  serverKeys(): string[];
  /** Forgets the servers that are gone and have stated nothing for long. */
  prune(isRegistered: (serverKey: string) => boolean, nowMs: number): void;
}

/** Time without a statement after which a server that is gone is forgotten; longer than any outage after which the same run returns. */
const RETENTION_MS = 600_000;

/**
 * Creates the limits of a router that knows of none.
 * @param getPhase returns the phase of this router's limit of a server (see `createServerLimit`)
 */
export function createServerLimits(getPhase: (serverKey: string) => number): ServerLimits {
  const limits = new Map<string, ServerLimit>();
  const news = new Set<string>();

  function state(
    serverKey: string,
    requestsPerSecond: number | undefined,
    statedAtMs: number,
    nowMs: number,
  ): boolean {
    const limit = limits.get(serverKey) ?? createServerLimit(getPhase(serverKey));
    limits.set(serverKey, limit);
    return limit.state(requestsPerSecond, statedAtMs, nowMs);
  }

  return {
    recordAnswer(serverKey, requestsPerSecond, requestSentAtMs, nowMs) {
      const limit = limits.get(serverKey);
      const isLift = requestsPerSecond === undefined;
      if (isLift && (limit === undefined || requestSentAtMs < limit.statedAtMs())) return false;
      const hasChanged = state(serverKey, requestsPerSecond, nowMs, nowMs);
      if (hasChanged) news.add(serverKey);
      return hasChanged;
    },
    recordPeerLimit({ serverKey, requestsPerSecond, ageMs }, nowMs) {
      const limit = limits.get(serverKey);
      const statedAtMs = nowMs - ageMs;
      if (limit === undefined || statedAtMs > limit.statedAtMs())
        return state(serverKey, requestsPerSecond, statedAtMs, nowMs);
      // The peer, and those that it has told, don't know the later statement.
      if (limit.requestsPerSecond() !== requestsPerSecond) news.add(serverKey);
      return false;
    },
    get: (serverKey) => limits.get(serverKey),
    takeNews() {
      const keys = [...news];
      news.clear();
      return keys;
    },
    describe: (serverKeys, nowMs) =>
      serverKeys.flatMap((serverKey) => {
        const limit = limits.get(serverKey);
        if (limit === undefined) return [];
        const ageMs = nowMs - limit.statedAtMs();
        return [{ serverKey, requestsPerSecond: limit.requestsPerSecond(), ageMs }];
      }),
    serverKeys: () =>
      [...limits].flatMap(([serverKey, limit]) =>
        limit.requestsPerSecond() === undefined ? [] : [serverKey],
      ),
    prune(isRegistered, nowMs) {
      limits.forEach((limit, serverKey) => {
        const isOld = nowMs - limit.statedAtMs() > RETENTION_MS;
        if (isOld && !isRegistered(serverKey)) limits.delete(serverKey);
      });
    },
  };
}
