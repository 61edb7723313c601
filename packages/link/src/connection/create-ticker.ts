/** Timer shared by the heartbeats of all links of a server or dialer, so that idle links wake the process only once per period. */

/** Periodic timer with several listeners. */
export interface Ticker {
  /** Adds a listener and returns a function that removes it. The timer runs while there are listeners. */
  add(listener: () => void): () => void;
}

/** Creates a ticker without listeners, initially stopped. */
export function createTicker(periodMs: number): Ticker {
  const listeners = new Set<() => void>();
  let timer: NodeJS.Timeout | undefined;

  function tick(): void {
    [...listeners].forEach((listener) => listener());
  }

  function remove(listener: () => void): void {
    listeners.delete(listener);
    if (listeners.size === 0) clearInterval(timer);
  }

  function add(listener: () => void): () => void {
    if (listeners.size === 0) timer = setInterval(tick, periodMs);
    listeners.add(listener);
    return () => remove(listener);
  }

  return { add };
}
