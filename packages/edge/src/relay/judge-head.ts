/** What the head of a backend server's answer says of the attempt. */
import type { IncomingMessage } from 'node:http';
import { AttemptOutcome } from '@kingcupsill/core/direct';
import { readAnswerHeaders } from '@kingcupsill/prepared-platform';

/** Statuses that promise callers that nothing ran. From a backend server only its not-run header says so. */
const PROMISES = new Set([408, 421, 429, 503]);

/** Ends for which the body doesn't matter. */
const DECIDED_BY_HEAD = new Set<AttemptOutcome>([
  AttemptOutcome.Unknown,
  AttemptOutcome.NotRun,
  AttemptOutcome.WrongServer,
]);

/** Judgement of a head: how the attempt will end if the body is whole, and whether the body is needed at all. */
export interface HeadJudgement {
  end: AttemptOutcome;
  decided: boolean;
}

function endOf(res: IncomingMessage, attemptId: string | undefined): AttemptOutcome {
  const head = readAnswerHeaders(res.headers);
  const status = res.statusCode!;
  if (head.attemptId !== undefined && head.attemptId !== attemptId) return AttemptOutcome.Unknown;
  if (status === 421) return AttemptOutcome.WrongServer;
  if (head.notRun) return AttemptOutcome.NotRun;
  if (PROMISES.has(status) || status < 200) return AttemptOutcome.Unknown;
  if (status >= 300) return AttemptOutcome.Failed;
  return head.signed && !head.encoded ? AttemptOutcome.Complete : AttemptOutcome.Unknown;
}

/** Judges the head of the answer to the request with `attemptId`. */
export function judgeHead(res: IncomingMessage, attemptId: string | undefined): HeadJudgement {
  const end = endOf(res, attemptId);
  return { end, decided: DECIDED_BY_HEAD.has(end) };
}
