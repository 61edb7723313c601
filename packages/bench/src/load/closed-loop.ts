/** Closed-loop load generator: each worker of a fixed number sends one request at a time. */
import type { RequestRecord } from '../measure/types.js';
import type { OpenLoopOptions } from './open-loop.js';

/** Options of a closed-loop run; the arrival times of the schedule are ignored. */
export interface ClosedLoopOptions extends Omit<OpenLoopOptions, 'onProgress'> {
  /** Number of concurrent requests. */
  concurrency: number;
  /** Time from the start after which no request is sent, in milliseconds. @default Infinity */
  durationMs?: number;
}

/** Sends requests in schedule order until the schedule is exhausted or the duration has passed. */
export async function runClosedLoop(options: ClosedLoopOptions): Promise<RequestRecord[]> {
  const { schedule, send, concurrency, durationMs = Infinity } = options;
  const endMs = performance.now() + durationMs;
  const records: RequestRecord[] = [];
  let nextIndex = 0;
  const runWorker = async () => {
    while (nextIndex < schedule.length && performance.now() < endMs) {
      const req = schedule[nextIndex] as (typeof schedule)[number];
      nextIndex += 1;
      records.push(await send(req));
    }
  };
  await Promise.all(Array.from({ length: concurrency }, runWorker));
  return records;
}
