/** Open-loop load generator: sends each request at its scheduled time, independently of earlier answers. */
import type { RequestRecord } from '../measure/types.js';
import type { ScheduledRequest } from './types.js';

/** Options of an open-loop run. */
export interface OpenLoopOptions {
  schedule: readonly ScheduledRequest[];
  /** Sends one request; never rejects. */
  send: (req: ScheduledRequest) => Promise<RequestRecord>;
  /** Called about once a second with the numbers of requests sent and answered. */
  onProgress?: (sent: number, answered: number) => void;
}

const PROGRESS_PERIOD_MS = 1000;

/** Resolves at a time of the `performance.now()` clock, in milliseconds. */
function sleepUntil(atMs: number): Promise<void> {
  const delayMs = atMs - performance.now();
  if (delayMs <= 0) return Promise.resolve();
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}

/** Sends all requests of the schedule and waits for all answers. */
export async function runOpenLoop(options: OpenLoopOptions): Promise<RequestRecord[]> {
  const { schedule, send, onProgress } = options;
  const startMs = performance.now();
  const records: RequestRecord[] = [];
  const pending: Promise<void>[] = [];
  const timer = setInterval(() => onProgress?.(pending.length, records.length), PROGRESS_PERIOD_MS);
  for (const req of schedule) {
    await sleepUntil(startMs + req.atMs);
    pending.push(
      send(req).then((record) => {
        records.push(record);
      }),
    );
  }
  await Promise.all(pending);
  clearInterval(timer);
  return records;
}
