/** Table of active and recently ended runs. */
import type { AnswerBuffer } from './answer-buffer.js';
import type { AnswerContext, StreamFormatter } from './chat-format.js';
import type { EngineRunEntry } from './types.js';

/** One active run, or an ended run whose answer is retained. */
export interface Run {
  runId: number;
  requestId: string;
  context: AnswerContext;
  formatter: StreamFormatter;
  buffer: AnswerBuffer;
  entry: EngineRunEntry;
  /** Number of tokens already appended to a streamed answer. */
  appendedTokens: number;
  /** Number of tokens after which a fault destroys the connection; undefined without a fault. */
  cutAfter: number | undefined;
  /** Whether the request exceeds the total KV memory. */
  rejected: boolean;
}

/** Indexes runs by run id and request id. Ended runs are retained for a while so that their answers can be resumed. */
export interface RunTable {
  add(run: Run): void;
  byRunId(runId: number): Run | undefined;
  /** Returns the latest run with this request id. */
  byRequestId(requestId: string): Run | undefined;
  /** Returns the latest run of another request whose answer was not aborted. */
  findOther(run: Run): Run | undefined;
  /** Returns the runs that have not ended. */
  active(): Run[];
  /** Schedules the removal of an ended run and removes those whose retention time has passed. */
  scheduleRemoval(run: Run, nowMs: number): void;
  clear(): void;
}

/** Creates an empty table that retains ended runs for `keepMs` milliseconds. */
export const createRunTable = (keepMs: number): RunTable => {
  const runs = new Map<number, Run>();
  const latestByRequestId = new Map<string, Run>();
  let removals: { run: Run; removeAtMs: number }[] = [];

  const remove = (run: Run) => {
    runs.delete(run.runId);
    if (latestByRequestId.get(run.requestId) === run) latestByRequestId.delete(run.requestId);
  };

  return {
    add: (run) => {
      runs.set(run.runId, run);
      latestByRequestId.set(run.requestId, run);
    },
    byRunId: (runId) => runs.get(runId),
    byRequestId: (requestId) => latestByRequestId.get(requestId),
    findOther: (run) =>
      [...runs.values()].findLast(
        (candidate) => candidate.requestId !== run.requestId && !candidate.buffer.isAborted(),
      ),
    active: () => [...runs.values()].filter((run) => !run.buffer.isEnded()),
    scheduleRemoval: (run, nowMs) => {
      removals.push({ run, removeAtMs: nowMs + keepMs });
      const firstUnexpired = removals.findIndex(({ removeAtMs }) => removeAtMs > nowMs);
      removals.splice(0, firstUnexpired).forEach((removal) => remove(removal.run));
    },
    clear: () => {
      runs.clear();
      latestByRequestId.clear();
      removals = [];
    },
  };
};
