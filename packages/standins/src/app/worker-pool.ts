/** A fixed number of workers with a queue. */
/** A fixed number of workers with a queue, first come first. */
export interface WorkerPool {
  /** Resolves true when a worker is taken, or false when `signal` aborts before. */
  take(signal: AbortSignal): Promise<boolean>;
  /** Gives a worker back. */
  release(): void;
  /** Starts nothing for a while. */
  freeze(durationMs: number): void;
  busy(): number;
  waiting(): number;
  close(): void;
}

/** Creates a pool with all workers free. */
export const createWorkerPool = (workers: number): WorkerPool => {
  const queue: { start: () => void }[] = [];
  let busy = 0;
  let frozenUntilMs = 0;
  let timer: NodeJS.Timeout | undefined;

  const pump = () => {
    if (performance.now() < frozenUntilMs) return;
    while (busy < workers && queue[0] !== undefined) {
      busy += 1;
      queue.shift()?.start();
    }
  };

  return {
    take: (signal) =>
      new Promise((resolve) => {
        const job = { start: () => resolve(true) };
        queue.push(job);
        const leave = () => {
          const index = queue.indexOf(job);
          if (index === -1) return;
          queue.splice(index, 1);
          resolve(false);
        };
        signal.addEventListener('abort', leave, { once: true });
        if (signal.aborted) leave();
        pump();
      }),
    release: () => {
      busy -= 1;
      pump();
    },
    freeze: (durationMs) => {
      frozenUntilMs = Math.max(frozenUntilMs, performance.now() + durationMs);
      clearTimeout(timer);
      timer = setTimeout(pump, frozenUntilMs - performance.now() + 1);
    },
    busy: () => busy,
    waiting: () => queue.length,
    close: () => clearTimeout(timer),
  };
};
