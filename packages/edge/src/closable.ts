/** Something that is closed at the end of the process. */
export interface Closable {
  close(): void | Promise<void>;
}

/** Calls a function again and again until closed. */
export function repeatEvery(periodMs: number, call: () => void): Closable {
  const timer = setInterval(call, periodMs);
  return { close: () => clearInterval(timer) };
}
