/** Periodic execution of an asynchronous task. */
import { callAfter } from '@kingcupsill/runtime';
import type { Timer } from '@kingcupsill/runtime';

/** Task that runs periodically until closed. */
export interface PeriodicTask {
  /** Prevents further runs; a run in progress continues. */
  close(): void;
}

/** Runs the task immediately, and again `delayMs` after the end of each run. The task must not reject. */
export function startPeriodicTask(task: () => Promise<void>, delayMs: number): PeriodicTask {
  let closed = false;
  let timer: Timer | undefined;

  async function run(): Promise<void> {
    await task();
    if (!closed) timer = callAfter(delayMs, start);
  }

  function start(): void {
    run().catch((err: unknown) => {
      // The task must not reject: rethrows as an uncaught exception, which terminates the process.
      queueMicrotask(() => {
        throw err;
      });
    });
  }

  start();
  return {
    close() {
      closed = true;
      timer?.close();
    },
  };
}
