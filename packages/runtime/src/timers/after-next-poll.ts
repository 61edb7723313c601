/** Calls back after the event loop has polled all ready sockets, so that closed connections have been detected. */
export function afterNextPoll(callback: () => void): void {
  setImmediate(() => setImmediate(callback));
}

/** Resolves after the event loop has polled all ready sockets. */
export function polled(): Promise<void> {
  return new Promise(afterNextPoll);
}
