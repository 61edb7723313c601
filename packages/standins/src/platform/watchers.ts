/** Long polls that wait for changes. */
import type { ChangesOutcome } from './object-store.js';

/** Watches that wait for a change. */
export interface Watchers {
  /** Resolves at the next change that `read` shows, at the timeout, or when `signal` aborts. */
  wait(read: () => ChangesOutcome, timeoutMs: number, signal: AbortSignal): Promise<ChangesOutcome>;
  /** Lets waiting watches look again. */
  notify(): void;
  /** Ends all waiting watches with what they see now. */
  endAll(): void;
}

const isNews = (outcome: ChangesOutcome): boolean => !outcome.ok || outcome.events.length > 0;

/** Creates a set without watches. */
export const createWatchers = (): Watchers => {
  const waiting = new Set<(force: boolean) => void>();

  return {
    wait: (read, timeoutMs, signal) =>
      new Promise((resolve) => {
        let timer: NodeJS.Timeout | undefined;
        const wake = (force: boolean) => {
          const outcome = read();
          if (!force && !isNews(outcome)) return;
          waiting.delete(wake);
          clearTimeout(timer);
          resolve(outcome);
        };
        timer = setTimeout(() => wake(true), timeoutMs);
        waiting.add(wake);
        signal.addEventListener('abort', () => wake(true), { once: true });
        wake(signal.aborted);
      }),
    notify: () => [...waiting].forEach((wake) => wake(false)),
    endAll: () => [...waiting].forEach((wake) => wake(true)),
  };
};
