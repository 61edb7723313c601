/** Judges callers' records by the journals of the backend servers. */
import { AnswerCheck, Outcome } from './types.js';
import type { BackendRun, RequestRecord } from './types.js';

/** Counts of requests by outcome, and of broken promises. */
export interface RequestCounts {
  sent: number;
  completed: number;
  refused: number;
  failed: number;
  /** Passed as complete, but not the answer to this request. */
  wrongAnswers: number;
  /** Passed as complete, but cut. */
  incompleteAnswers: number;
  /** Non-idempotent requests, repeats counted as one, that ran more than once. */
  ranTwice: number;
  /** Requests refused as not run that the journals show as run. */
  falseRefusals: number;
}

function countRuns(
  runs: readonly BackendRun[],
  keyOf: (run: BackendRun) => string | undefined,
): Map<string, number> {
  const counts = new Map<string, number>();
  runs.forEach((run) => {
    const key = keyOf(run);
    if (key !== undefined) counts.set(key, (counts.get(key) ?? 0) + 1);
  });
  return counts;
}

/** Counts what the records and journals show. */
export function countRequests(
  records: readonly RequestRecord[],
  runs: readonly BackendRun[],
): RequestCounts {
  const logicalIds = new Map(
    records.filter((rec) => !rec.idempotent).map((rec) => [rec.id, rec.logicalId]),
  );
  const runsById = countRuns(runs, (run) => run.id);
  const runsOfRequest = countRuns(runs, (run) => logicalIds.get(run.id));
  const count = (test: (rec: RequestRecord) => boolean) => records.filter(test).length;
  return {
    sent: records.length,
    completed: count((rec) => rec.outcome === Outcome.Completed),
    refused: count((rec) => rec.outcome === Outcome.Refused),
    failed: count((rec) => rec.outcome === Outcome.Failed),
    wrongAnswers: count((rec) => rec.answer === AnswerCheck.Wrong),
    incompleteAnswers: count((rec) => rec.answer === AnswerCheck.Incomplete),
    ranTwice: [...runsOfRequest.values()].filter((times) => times > 1).length,
    falseRefusals: count((rec) => rec.outcome === Outcome.Refused && runsById.has(rec.id)),
  };
}
