/**
 * Times that a change takes from its acknowledgement by the store until it is in force on a router: one module owns them all, so that
 * their sums stay below the deployment's bound whatever a router waits for when its open connections go silent.
 */

/** Times of the feeds of the configuration, the backend servers and the evacuated zones, in milliseconds. */
export interface ChangeTiming {
  /** Time within which a change is in force in the worst case; the rest of the bound is left to routers that are behind. */
  targetMs: number;
  /** Wait that a router requests from the store which watches for itself. */
  watchWaitMs: number;
  /** Wait that a router requests which watches for others, so that it confirms its news in this period. */
  confirmWaitMs: number;
  /** Age above which news of other routers isn't relied on. */
  maxNewsAgeMs: number;
  /** Time beyond the wait after which a connection counts as silent, as long as the store has answered promptly. */
  responseTimeoutMs: number;
  /** Delay before the first call after a failed one. */
  retryDelayMs: number;
  /** Delay after changes that a router's own watch has returned, so that one call returns several. */
  batchDelayMs: number;
  /** Delay after changes that other routers have announced: the first is fetched at once, and those that follow together. */
  followingBatchDelayMs: number;
}

/** Ways in which a change reaches a router whose connections, or those of others, have gone silent. */
export const ChangePath = {
  /** The router watches the store for itself. */
  OwnWatch: 'own watch',
  /** A watching router notices the silence and tells the others. */
  WatchingRouter: 'watching router',
  /** The watching routers say nothing; the router asks the store when their news are too old. */
  OldNews: 'old news',
  /** The news arrive, but the router's own call is lost. */
  LostFetch: 'lost fetch',
  /** The news contradict a call that the store still holds. */
  ContradictedWatch: 'contradicted watch',
} as const;
export type ChangePath = (typeof ChangePath)[keyof typeof ChangePath];

const TARGET_FRACTION = 0.75;
/** New connection, and a call or a listing over it, between the most distant regions. */
const CALL_MS = 200;
/** Time that news wait at the routers which pass them on, as a fraction of the target; hubs of large fleets send less often. */
const NEWS_DELAY_FRACTION = 0.2;
/** Time for which a call that news contradict may still be answered. */
export const CONTRADICTED_CALL_MS = 50;
/** Connections that have rested longer aren't used again: they may have gone silent meanwhile. */
export const MAX_IDLE_MS = 500;

/** @param boundMs shortest of the deployment's bounds of changes, drains and evacuations */
export function planChangeTiming(boundMs: number): ChangeTiming {
  const targetMs = boundMs * TARGET_FRACTION;
  const confirmWaitMs = Math.min(800, targetMs * 0.3);
  return {
    targetMs,
    watchWaitMs: targetMs * 0.45,
    confirmWaitMs,
    maxNewsAgeMs: confirmWaitMs * 2,
    responseTimeoutMs: Math.min(1000, targetMs * 0.2),
    retryDelayMs: 50,
    batchDelayMs: Math.min(250, targetMs * 0.1),
    followingBatchDelayMs: Math.min(700, targetMs * 0.25),
  };
}

/** Returns the longest time of each path, for one silence of any open connections. */
export function sumChangeDelays(timing: ChangeTiming): Record<ChangePath, number> {
  const { responseTimeoutMs, retryDelayMs, followingBatchDelayMs } = timing;
  const lostCallMs = responseTimeoutMs + retryDelayMs + CALL_MS;
  const newsDelayMs = timing.targetMs * NEWS_DELAY_FRACTION;
  const fetchMs = Math.max(followingBatchDelayMs, CALL_MS);
  return {
    [ChangePath.OwnWatch]: timing.batchDelayMs + timing.watchWaitMs + lostCallMs,
    [ChangePath.WatchingRouter]: timing.confirmWaitMs + lostCallMs + newsDelayMs + CALL_MS,
    [ChangePath.OldNews]: Math.max(followingBatchDelayMs, timing.maxNewsAgeMs) + CALL_MS,
    [ChangePath.LostFetch]: newsDelayMs + followingBatchDelayMs + lostCallMs,
    [ChangePath.ContradictedWatch]: newsDelayMs + CONTRADICTED_CALL_MS + fetchMs,
  };
}
