/** Keeps a fixed number of requests open: each worker sends its next request when it has its answer. */
import type { RequestRecord } from '../measure/types.js';
import type { OpenLoopOptions } from './open-loop.js';

/** What a closed loop needs; the times of the schedule are not used. */
export interface ClosedLoopOptions extends Omit<OpenLoopOptions, 'onProgress'> {
  /** Requests open at a time. */
  concurrency: number;
  /** No request is sent after this time, in milliseconds from the start. @default no limit */
  durationMs?: number;
}

/** Sends requests in the order of the schedule until it or the time ends. */
export async function runClosedLoop(options: ClosedLoopOptions): Promise<RequestRecord[]> {
  const { schedule, send, concurrency, durationMs = Infinity } = options;
  const endMs = performance.now() + durationMs;
  const records: RequestRecord[] = [];
  let next = 0;
  const work = async () => {
    while (next < schedule.length && performance.now() < endMs) {
      const req = schedule[next] as (typeof schedule)[number];
      next += 1;
      records.push(await send(req));
    }
  };
  await Promise.all(Array.from({ length: concurrency }, work));
  return records;
}
