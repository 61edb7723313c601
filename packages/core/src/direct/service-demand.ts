/** Fraction of the fleet's requests that arrive at this router, by which the fleet's limits are divided. */
import { createSlidingSum } from './sliding-sum.js';
import type { SlidingSum } from './sliding-sum.js';

/** Numbers of requests by service. */
export type RequestCounts = [service: string, requests: number][];

/** Requests of this router and of its peers. */
export interface ServiceDemand {
  recordOwn(service: string, nowMs: number): void;
  /** Adds the requests of other routers since their last report. */
  recordPeers(counts: RequestCounts, nowMs: number): void;
  /** Fraction of the fleet's requests that this router got; `routerCount` routers share a service without requests. */
  ownFraction(service: string, routerCount: number, nowMs: number): number;
  /** Removes and returns this router's own requests since the last call, for reports. */
  takeOwn(): RequestCounts;
}

/** Window over which requests are counted. */
const WINDOW_MS = 4000;

interface ServiceWindow {
  own: SlidingSum;
  peers: SlidingSum;
  /** Until then, the peers' reports don't cover a window. */
  completeAtMs: number;
}

/** Creates the demand of a router that has had no request. */
export function createServiceDemand(): ServiceDemand {
  const windows = new Map<string, ServiceWindow>();
  let unreported = new Map<string, number>();

  function getWindow(service: string, nowMs: number): ServiceWindow {
    let window = windows.get(service);
    if (window === undefined) {
      window = {
        own: createSlidingSum(WINDOW_MS),
        peers: createSlidingSum(WINDOW_MS),
        completeAtMs: nowMs + WINDOW_MS,
      };
      windows.set(service, window);
    }
    return window;
  }

  return {
    recordOwn(service, nowMs) {
      getWindow(service, nowMs).own.add(nowMs, 1);
      unreported.set(service, (unreported.get(service) ?? 0) + 1);
    },
    recordPeers(counts, nowMs) {
      counts.forEach(([service, requests]) => getWindow(service, nowMs).peers.add(nowMs, requests));
    },
    ownFraction(service, routerCount, nowMs) {
      const { own, peers, completeAtMs } = getWindow(service, nowMs);
      const equalFraction = 1 / Math.max(1, routerCount);
      const all = own.total(nowMs) + peers.total(nowMs);
      if (all === 0) return equalFraction;
      const fraction = own.total(nowMs) / all;
      return nowMs < completeAtMs ? Math.min(fraction, equalFraction) : fraction;
    },
    takeOwn() {
      const taken = [...unreported];
      unreported = new Map();
      return taken;
    },
  };
}
