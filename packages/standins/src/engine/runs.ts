/** Table of the requests in the engine. */
import type { AnswerBuffer } from './answer-buffer.js';
import type { AnswerFacts, StreamFormat } from './chat-format.js';
import type { EngineRunEntry } from './types.js';

/** One request in the engine, or one whose answer is kept. */
export interface Run {
  runId: number;
  requestId: string;
  facts: AnswerFacts;
  format: StreamFormat;
  buffer: AnswerBuffer;
  entry: EngineRunEntry;
  /** Tokens already appended to the answer. */
  sentTokens: number;
  /** Tokens after which a fault destroys the connection. */
  cutAfter: number | undefined;
  /** Whether the request can never fit the KV memory. */
  rejected: boolean;
}

/** Runs by their ids. Ended runs stay for a while so that their answers can be resumed. */
export interface RunTable {
  add(run: Run): void;
  byRunId(runId: number): Run | undefined;
  /** The latest run of a request id. */
  byRequestId(requestId: string): Run | undefined;
  /** The latest other run whose answer is at hand. */
  otherThan(run: Run): Run | undefined;
  /** Runs that have not ended. */
  active(): Run[];
  /** Starts the time after which an ended run is dropped. */
  retire(run: Run, nowMs: number): void;
  clear(): void;
}

/** Creates an empty table; ended runs are kept for `keepMs`. */
export const createRunTable = (keepMs: number): RunTable => {
  const runs = new Map<number, Run>();
  const latest = new Map<string, Run>();
  let retired: { run: Run; dropAtMs: number }[] = [];

  const drop = (run: Run) => {
    runs.delete(run.runId);
    if (latest.get(run.requestId) === run) latest.delete(run.requestId);
  };

  return {
    add: (run) => {
      runs.set(run.runId, run);
      latest.set(run.requestId, run);
    },
    byRunId: (runId) => runs.get(runId),
    byRequestId: (requestId) => latest.get(requestId),
    otherThan: (run) =>
      [...runs.values()].findLast(
        (one) => one.requestId !== run.requestId && !one.buffer.isAborted(),
      ),
    active: () => [...runs.values()].filter((run) => !run.buffer.isEnded()),
    retire: (run, nowMs) => {
      retired.push({ run, dropAtMs: nowMs + keepMs });
      const expired = retired.findIndex(({ dropAtMs }) => dropAtMs > nowMs);
      retired.splice(0, expired).forEach((one) => drop(one.run));
    },
    clear: () => {
      runs.clear();
      latest.clear();
      retired = [];
    },
  };
};
