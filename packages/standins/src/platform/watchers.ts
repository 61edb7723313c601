/** Long polling for changes. */
import type { ChangesOutcome } from './object-store.js';

/** Pending watches. */
export interface Watchers {
  /** Resolves when `read` returns changes or an error, on timeout, or when `signal` aborts. */
  wait(read: () => ChangesOutcome, timeoutMs: number, signal: AbortSignal): Promise<ChangesOutcome>;
  /** Makes all pending watches read again. */
  notify(): void;
  /** Resolves all pending watches with their current result. */
  resolveAll(): void;
}

const isConclusive = (outcome: ChangesOutcome): boolean => !outcome.ok || outcome.events.length > 0;

/** Creates an empty set of watches. */
export const createWatchers = (): Watchers => {
  const pendingChecks = new Set<(force: boolean) => void>();

  return {
    wait: (read, timeoutMs, signal) =>
      new Promise((resolve) => {
        let timer: NodeJS.Timeout | undefined;
        const check = (force: boolean) => {
          const outcome = read();
          if (!force && !isConclusive(outcome)) return;
          pendingChecks.delete(check);
          clearTimeout(timer);
          resolve(outcome);
        };
        timer = setTimeout(() => check(true), timeoutMs);
        pendingChecks.add(check);
        signal.addEventListener('abort', () => check(true), { once: true });
        check(signal.aborted);
      }),
    notify: () => [...pendingChecks].forEach((check) => check(false)),
    resolveAll: () => [...pendingChecks].forEach((check) => check(true)),
  };
};
