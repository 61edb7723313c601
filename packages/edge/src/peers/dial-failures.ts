/** Failed connections to routers, and when each may be dialled again. */
import { exponentialBackoffMs } from '@kingcupsill/core/backoff';
import type { Clock } from '@kingcupsill/runtime';

/** Failures by address. */
export interface DialFailures {
  record(address: string): void;
  /** Forgets the failures of an address that has been connected for long. */
  forget(address: string): void;
  /** Forgets all addresses but these. */
  retain(addresses: ReadonlySet<string>): void;
  has(address: string): boolean;
  isDue(address: string): boolean;
}

/** Delays before a failed address is dialled again, doubling from the first to the longest. */
const REDIAL_DELAYS = { initialMs: 200, maxMs: 3000 };

/** Creates a record without failures. */
export function createDialFailures(clock: Clock): DialFailures {
  const failures = new Map<string, { count: number; retryAtMs: number }>();
  return {
    record(address) {
      const earlier = failures.get(address)?.count ?? 0;
      const retryAtMs = clock() + exponentialBackoffMs(earlier, REDIAL_DELAYS);
      failures.set(address, { count: earlier + 1, retryAtMs });
    },
    forget: (address) => {
      failures.delete(address);
    },
    retain(addresses) {
      failures.forEach((_failure, address) => {
        if (!addresses.has(address)) failures.delete(address);
      });
    },
    has: (address) => failures.has(address),
    isDue: (address) => (failures.get(address)?.retryAtMs ?? 0) <= clock(),
  };
}
