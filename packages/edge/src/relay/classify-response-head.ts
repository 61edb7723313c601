/** What the head of a backend server's answer says of the attempt. */
import type { IncomingMessage } from 'node:http';
import { AttemptEnd } from '@kingcupsill/core/direct';
import { parseResponseHeaders } from '@kingcupsill/prepared-platform';

/** Statuses that promise callers that nothing ran. From a backend server only its not-run header says so. */
const PROMISES = new Set([408, 421, 429, 503]);

/** Ends for which the body doesn't matter. */
const DECIDED_BY_HEAD = new Set<AttemptEnd>([
  AttemptEnd.Unknown,
  AttemptEnd.NotRun,
  AttemptEnd.WrongServer,
]);

/** Judgement of a head: how the attempt will end if the body is whole, and whether the body is needed at all. */
export interface HeadClassification {
  end: AttemptEnd;
  isFinal: boolean;
}

function endOf(res: IncomingMessage, attemptId: string | undefined): AttemptEnd {
  const head = parseResponseHeaders(res.headers);
  const status = res.statusCode!;
  if (head.attemptId !== undefined && head.attemptId !== attemptId) return AttemptEnd.Unknown;
  if (status === 421) return AttemptEnd.WrongServer;
  if (head.notRun) return AttemptEnd.NotRun;
  if (PROMISES.has(status) || status < 200) return AttemptEnd.Unknown;
  if (status >= 300) return AttemptEnd.Failed;
  return head.signed && !head.contentEncoded ? AttemptEnd.Complete : AttemptEnd.Unknown;
}

/** Judges the head of the answer to the request with `attemptId`. */
export function classifyResponseHead(
  res: IncomingMessage,
  attemptId: string | undefined,
): HeadClassification {
  const end = endOf(res, attemptId);
  return { end, isFinal: DECIDED_BY_HEAD.has(end) };
}
