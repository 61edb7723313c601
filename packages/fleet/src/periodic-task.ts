/** Repeats a task until closed. */

/** A running repetition. */
export interface PeriodicTask {
  close(): void;
}

/** Runs the task now and again `periodMs` after each end. The task must not reject. */
export function startPeriodicTask(task: () => Promise<void>, periodMs: number): PeriodicTask {
  let closed = false;
  let timer: NodeJS.Timeout | undefined;

  async function run(): Promise<void> {
    await task();
    if (!closed) timer = setTimeout(start, periodMs);
  }

  function start(): void {
    run().catch((err: unknown) => {
      // A rejection is a broken invariant: it must end the process.
      queueMicrotask(() => {
        throw err;
      });
    });
  }

  start();
  return {
    close() {
      closed = true;
      clearTimeout(timer);
    },
  };
}
