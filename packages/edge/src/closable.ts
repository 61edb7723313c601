/** Resource that is closed at the end of the process. */
export interface Closable {
  close(): void | Promise<void>;
}

/** Calls a function periodically until closed. */
export function repeatEvery(periodMs: number, callback: () => void): Closable {
  const timer = setInterval(callback, periodMs);
  return { close: () => clearInterval(timer) };
}
