/** Retry budget of this router per service; the budgets of all routers together stay within the fleet's. */
import { createSlidingSum } from './sliding-sum.js';
import type { SlidingSum } from './sliding-sum.js';

/** Retry budget of the fleet, from the settings. */
export interface RetryBudgetOptions {
  /** Allowed retries per request. */
  ratio: number;
  /** Additional retries allowed in one window, over all routers. */
  burst: number;
  windowMs: number;
}

/** Counts requests and retries by service. */
export interface RetryBudget {
  recordRequest(service: string, nowMs: number): void;
  /** Takes one retry from the budget; returns false if it is exhausted. `routerCount` routers share the burst. */
  tryAcquire(service: string, nowMs: number, routerCount: number): boolean;
}

/** Usable fraction of the budget; the margin covers restarted routers, which lose their counts, and the overlap of windows. */
const USABLE_FRACTION = 0.7;

interface ServiceCounts {
  requests: SlidingSum;
  retries: SlidingSum;
}

/**
 * Creates the budget. Requests are counted over a shorter window than retries, so that the fleet's limit holds in any window of
 * `windowMs`.
 */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  const { ratio, burst, windowMs } = options;
  const services = new Map<string, ServiceCounts>();

  function getCounts(service: string): ServiceCounts {
    let counts = services.get(service);
    if (counts === undefined) {
      counts = {
        requests: createSlidingSum(windowMs * 0.9),
        retries: createSlidingSum(windowMs * 1.1),
      };
      services.set(service, counts);
    }
    return counts;
  }

  return {
    recordRequest: (service, nowMs) => getCounts(service).requests.add(nowMs, 1),
    tryAcquire(service, nowMs, routerCount) {
      const { requests, retries } = getCounts(service);
      const allowed =
        USABLE_FRACTION * (ratio * requests.total(nowMs) + burst / Math.max(1, routerCount));
      if (retries.total(nowMs) + 1 > allowed) return false;
      retries.add(nowMs, 1);
      return true;
    },
  };
}
