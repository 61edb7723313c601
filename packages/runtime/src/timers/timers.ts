/**
 * Timers that end or close something because of what others haven't done in time. After a pause of the process, all of them are due
 * at once, and Node runs them before it reads what has arrived during the pause. A late timer therefore acts after the next poll.
 */
import { createMonotonicClock } from '../clock/index.js';
import { afterNextPoll } from './after-next-poll.js';

/** Running timer. */
export interface Timer {
  close(): void;
}

/** Lateness above which something may have arrived that a timer has to take into account. */
const LATE_MS = 20;

const clock = createMonotonicClock();

/** Calls back with the lateness in milliseconds, 0 if it is small. */
function runWhenPolled(dueAtMs: number, callback: (lateMs: number) => void): void {
  const lateMs = clock() - dueAtMs;
  if (lateMs < LATE_MS) callback(0);
  else afterNextPoll(() => callback(lateMs));
}

/** Calls back once after `delayMs`, unless closed before. A late call gets its lateness in milliseconds, others 0. */
export function callAfter(delayMs: number, callback: (lateMs: number) => void): Timer {
  let isClosed = false;
  const dueAtMs = clock() + delayMs;
  const timer = setTimeout(() => {
    runWhenPolled(dueAtMs, (lateMs) => {
      if (!isClosed) callback(lateMs);
    });
  }, delayMs);
  return {
    close() {
      isClosed = true;
      clearTimeout(timer);
    },
  };
}

/** Resolves after `delayMs`. */
export function wait(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    callAfter(delayMs, () => resolve());
  });
}

/** Calls a function periodically until closed. */
export function repeatEvery(periodMs: number, callback: () => void): Timer {
  let isClosed = false;
  let dueAtMs = clock() + periodMs;
  const timer = setInterval(() => {
    runWhenPolled(dueAtMs, () => {
      if (!isClosed) callback();
    });
    dueAtMs = clock() + periodMs;
  }, periodMs);
  return {
    close() {
      isClosed = true;
      clearInterval(timer);
    },
  };
}
