/** Classification of attempts by the head of the backend server's response. */
import type { IncomingMessage } from 'node:http';
import { AttemptOutcome } from '@kingcupsill/core/direct';
import type { ServerAnnouncement } from '@kingcupsill/core/direct';
import { areHeadersValid, isStatus } from '@kingcupsill/core/http-syntax';
import { parseAnnouncement, parseResponseHeaders } from '@kingcupsill/prepared-platform';

/** Statuses that guarantee callers that the request didn't run. From a backend server, only its not-executed header guarantees that. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

/** Outcomes that the head alone determines. */
const FINAL_OUTCOMES = new Set<AttemptOutcome>([
  AttemptOutcome.Unknown,
  AttemptOutcome.NotRun,
  AttemptOutcome.WrongServer,
]);

/** Classification of a response head. */
export interface HeadClassification {
  /** Outcome of the attempt if the body arrives completely. */
  outcome: AttemptOutcome;
  /** The outcome is certain without the body. */
  isFinal: boolean;
  /** Status or fault of the head, for logs. */
  detail: string;
  /** What the server states about itself; undefined if another server has answered. */
  announcement: ServerAnnouncement | undefined;
}

function determineOutcome(res: IncomingMessage, attemptId: string | undefined): AttemptOutcome {
  const head = parseResponseHeaders(res.headers);
  const status = res.statusCode!;
  if (head.attemptId !== undefined && head.attemptId !== attemptId) return AttemptOutcome.Unknown;
  if (status === 421) return AttemptOutcome.WrongServer;
  if (head.notRun) return AttemptOutcome.NotRun;
  if (NOT_RUN_STATUSES.has(status) || status < 200) return AttemptOutcome.Unknown;
  if (status >= 300) return AttemptOutcome.Failed;
  return head.signed && !head.contentEncoded ? AttemptOutcome.Complete : AttemptOutcome.Unknown;
}

/** Returns whether the head can be passed on. Node's parser accepts names and statuses that can't be written. */
function isWellFormed({ statusCode, rawHeaders }: IncomingMessage): boolean {
  return isStatus(statusCode!) && areHeadersValid(rawHeaders);
}

/** Classifies the head of the response to the request with `attemptId`. */
export function classifyResponseHead(
  res: IncomingMessage,
  attemptId: string | undefined,
): HeadClassification {
  const detail = `status ${res.statusCode}`;
  if (!isWellFormed(res))
    return {
      outcome: AttemptOutcome.Unknown,
      isFinal: true,
      detail: `${detail}, malformed head`,
      announcement: undefined,
    };
  const outcome = determineOutcome(res, attemptId);
  // Another server has taken over the address, so its statements don't concern this one.
  const isOtherServer = outcome === AttemptOutcome.WrongServer;
  const announcement = isOtherServer ? undefined : parseAnnouncement(res.statusCode!, res.headers);
  return { outcome, isFinal: FINAL_OUTCOMES.has(outcome), detail, announcement };
}
