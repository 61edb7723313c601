/** Fixed-size worker pool. */
/** Fixed-size pool of workers with a FIFO queue. */
export interface WorkerPool {
  /** Resolves to true once a worker is acquired, or to false if `signal` aborts first. */
  acquire(signal: AbortSignal): Promise<boolean>;
  /** Releases a worker. */
  release(): void;
  /** Starts no queued work for `durationMs` milliseconds. */
  freeze(durationMs: number): void;
  busy(): number;
  waiting(): number;
  close(): void;
}

/** Creates a pool with all workers idle. */
export const createWorkerPool = (workers: number): WorkerPool => {
  const queue: { start: () => void }[] = [];
  let busy = 0;
  let frozenUntilMs = 0;
  let timer: NodeJS.Timeout | undefined;

  const startQueued = () => {
    if (performance.now() < frozenUntilMs) return;
    while (busy < workers && queue[0] !== undefined) {
      busy += 1;
      queue.shift()?.start();
    }
  };

  return {
    acquire: (signal) =>
      new Promise((resolve) => {
        const job = { start: () => resolve(true) };
        queue.push(job);
        const cancelWait = () => {
          const index = queue.indexOf(job);
          if (index === -1) return;
          queue.splice(index, 1);
          resolve(false);
        };
        signal.addEventListener('abort', cancelWait, { once: true });
        if (signal.aborted) cancelWait();
        startQueued();
      }),
    release: () => {
      busy -= 1;
      startQueued();
    },
    freeze: (durationMs) => {
      frozenUntilMs = Math.max(frozenUntilMs, performance.now() + durationMs);
      clearTimeout(timer);
      timer = setTimeout(startQueued, frozenUntilMs - performance.now() + 1);
    },
    busy: () => busy,
    waiting: () => queue.length,
    close: () => clearTimeout(timer),
  };
};
