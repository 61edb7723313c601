/** Request counts from the callers' records, checked against the journals of the backend servers. */
import { AnswerCheck, Outcome } from './types.js';
import type { BackendRun, RequestRecord } from './types.js';

/** Number of requests by outcome, and of violations of the delivery guarantees. */
export interface RequestCounts {
  sent: number;
  completed: number;
  refused: number;
  failed: number;
  /** Responses marked as complete that don't match the request. */
  wrongAnswers: number;
  /** Responses marked as complete that were truncated. */
  incompleteAnswers: number;
  /** Non-idempotent requests that ran more than once; retries of a request count as one request. */
  ranTwice: number;
  /** Requests refused as not run although a journal contains a run. */
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

/** Counts requests by outcome, and guarantee violations, from records and journals. */
export function countRequests(
  records: readonly RequestRecord[],
  runs: readonly BackendRun[],
): RequestCounts {
  const logicalIds = new Map(
    records.filter((record) => !record.idempotent).map((record) => [record.id, record.logicalId]),
  );
  const runCountById = countRuns(runs, (run) => run.id);
  const runCountByLogicalId = countRuns(runs, (run) => logicalIds.get(run.id));
  const count = (matches: (record: RequestRecord) => boolean) => records.filter(matches).length;
  return {
    sent: records.length,
    completed: count((record) => record.outcome === Outcome.Completed),
    refused: count((record) => record.outcome === Outcome.Refused),
    failed: count((record) => record.outcome === Outcome.Failed),
    wrongAnswers: count((record) => record.answer === AnswerCheck.Wrong),
    incompleteAnswers: count((record) => record.answer === AnswerCheck.Incomplete),
    ranTwice: [...runCountByLogicalId.values()].filter((runCount) => runCount > 1).length,
    falseRefusals: count(
      (record) => record.outcome === Outcome.Refused && runCountById.has(record.id),
    ),
  };
}
