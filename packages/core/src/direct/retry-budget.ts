/** Share of repeats that this router may send to a service, so that all routers together stay within the fleet's budget. */
import { createSlidingSum } from './sliding-sum.js';
import type { SlidingSum } from './sliding-sum.js';

/** The fleet's budget, as the settings give it. */
export interface RetryBudgetOptions {
  /** Repeats allowed per request. */
  ratio: number;
  /** Repeats allowed besides, in one window, summed over all routers. */
  burst: number;
  windowMs: number;
}

/** Counts requests and repeats by service. */
export interface RetryBudget {
  recordRequest(service: string, nowMs: number): void;
  /** Takes one repeat, or says that there is none left. `routers` is the number of routers that share the burst. */
  tryAcquire(service: string, nowMs: number, routers: number): boolean;
}

/** Part of the budget that is used; the rest covers routers that restarted and forgot, and windows that meet. */
const USED_PART = 0.7;

interface ServiceCounts {
  requests: SlidingSum;
  repeats: SlidingSum;
}

/** Creates the budget. Requests are counted over a shorter span than repeats, so any window of the fleet's is kept. */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  const { ratio, burst, windowMs } = options;
  const services = new Map<string, ServiceCounts>();

  function countsOf(service: string): ServiceCounts {
    let counts = services.get(service);
    if (counts === undefined) {
      counts = {
        requests: createSlidingSum(windowMs * 0.9),
        repeats: createSlidingSum(windowMs * 1.1),
      };
      services.set(service, counts);
    }
    return counts;
  }

  return {
    recordRequest: (service, nowMs) => countsOf(service).requests.add(nowMs, 1),
    tryAcquire(service, nowMs, routers) {
      const { requests, repeats } = countsOf(service);
      const allowed = USED_PART * (ratio * requests.total(nowMs) + burst / Math.max(1, routers));
      if (repeats.total(nowMs) + 1 > allowed) return false;
      repeats.add(nowMs, 1);
      return true;
    },
  };
}
