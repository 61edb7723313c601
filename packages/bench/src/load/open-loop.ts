/** Offers a schedule at its own times, whatever the answers do. */
import type { RequestRecord } from '../measure/types.js';
import type { ScheduledRequest } from './types.js';

/** What a run of a schedule needs. */
export interface OpenLoopOptions {
  schedule: readonly ScheduledRequest[];
  /** Sends one request; never rejects. */
  send: (req: ScheduledRequest) => Promise<RequestRecord>;
  /** Told the count of requests sent and answered, about once a second. */
  onProgress?: (sent: number, answered: number) => void;
}

const PROGRESS_PERIOD_MS = 1000;

function waitUntil(atMs: number): Promise<void> {
  const delayMs = atMs - performance.now();
  if (delayMs <= 0) return Promise.resolve();
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}

/** Sends the whole schedule and waits for every answer. */
export async function runOpenLoop(options: OpenLoopOptions): Promise<RequestRecord[]> {
  const { schedule, send, onProgress } = options;
  const startMs = performance.now();
  const records: RequestRecord[] = [];
  const pending: Promise<void>[] = [];
  const timer = setInterval(() => onProgress?.(pending.length, records.length), PROGRESS_PERIOD_MS);
  for (const req of schedule) {
    await waitUntil(startMs + req.atMs);
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
