/** Classification of attempts by the head of the backend server's response. */
import type { IncomingMessage } from 'node:http';
import { AttemptOutcome } from '@kingcupsill/core/direct';
import type { ServerAnnouncement } from '@kingcupsill/core/direct';
import { areHeadersValid, containsStatusLine, isStatus } from '@kingcupsill/core/http-syntax';
import { parseAnnouncement, parseResponseHeaders } from '@kingcupsill/prepared-platform';
import type { ResponseHeaders } from '@kingcupsill/prepared-platform';

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
  /** What the server states about itself; undefined if the response isn't its response to the request. */
  announcement: ServerAnnouncement | undefined;
}

/** Request whose response is expected on a connection. */
export interface ExpectedResponse {
  attemptId: string | undefined;
  /** The connection was used for an earlier request, whose response may come once more. */
  isReusedConnection: boolean;
}

/**
 * Returns whether the head can be passed on. Node's parser accepts names and statuses that can't be written, and reads the beginning
 * of a head and the head of a later response on its connection as one.
 */
function isWellFormed({ statusCode, statusMessage, rawHeaders }: IncomingMessage): boolean {
  const isOneHead = ![statusMessage!, ...rawHeaders].some(containsStatusLine);
  return isStatus(statusCode!) && areHeadersValid(rawHeaders) && isOneHead;
}

/** Returns why the head can't be that of the response to the request; undefined if it is. */
function findMismatch(
  res: IncomingMessage,
  namedId: string | undefined,
  { attemptId, isReusedConnection }: ExpectedResponse,
): string | undefined {
  if (!isWellFormed(res)) return 'malformed head';
  if (namedId === undefined) return isReusedConnection ? 'names no request' : undefined;
  return namedId === attemptId ? undefined : 'names another request';
}

function determineOutcome(status: number, head: ResponseHeaders): AttemptOutcome {
  if (status === 421) return AttemptOutcome.WrongServer;
  if (head.notRun) return AttemptOutcome.NotRun;
  if (NOT_RUN_STATUSES.has(status) || status < 200) return AttemptOutcome.Unknown;
  if (status >= 300) return AttemptOutcome.Failed;
  return head.signed && !head.contentEncoded ? AttemptOutcome.Complete : AttemptOutcome.Unknown;
}

/** Classifies the head of a response. One that isn't the response to the request proves nothing, neither about the server. */
export function classifyResponseHead(
  res: IncomingMessage,
  expected: ExpectedResponse,
): HeadClassification {
  const status = res.statusCode!;
  const head = parseResponseHeaders(res.headers);
  const mismatch = findMismatch(res, head.attemptId, expected);
  if (mismatch !== undefined)
    return {
      outcome: AttemptOutcome.Unknown,
      isFinal: true,
      detail: `status ${status}, ${mismatch}`,
      announcement: undefined,
    };
  const outcome = determineOutcome(status, head);
  // Another server has taken over the address, so its statements don't concern this one.
  const isOtherServer = outcome === AttemptOutcome.WrongServer;
  const announcement = isOtherServer ? undefined : parseAnnouncement(status, res.headers);
  return {
    outcome,
    isFinal: FINAL_OUTCOMES.has(outcome),
    detail: `status ${status}`,
    announcement,
  };
}
