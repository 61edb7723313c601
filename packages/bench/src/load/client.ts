/** Sends scheduled requests to routers and records the results observed by the caller. */
import { getOwn } from '@kingcupsill/core/collections';
import { Agent, request } from 'undici';
import type { Dispatcher } from 'undici';
import { AnswerCheck, Outcome } from '../measure/types.js';
import type { RequestRecord } from '../measure/types.js';
import { checkAnswer } from './answers.js';
import { isIdempotent, toHttpCall } from './calls.js';
import type { HttpCall } from './calls.js';
import { createSseReader } from './sse.js';
import type { ScheduledRequest } from './types.js';

/** Router and pool of a request, and the API key it is sent with. */
export interface Destination {
  /** Name of the router. */
  router: string;
  /** Base URL of the router. */
  url: string;
  apiKey: string;
  pool: string;
}

/** Sends requests over keep-alive connections. */
export interface LoadClient {
  /** Sends one request; never rejects, errors become a failed record. */
  send: (req: ScheduledRequest, destination: Destination) => Promise<RequestRecord>;
  /** Closes all connections; requests in progress fail. */
  close: () => Promise<void>;
}

/** Options of the load client. */
export interface LoadClientOptions {
  /** Timeout of a request, in milliseconds. @default 120000 */
  timeoutMs?: number;
  /** Called with the text of each answer that was delivered as complete. */
  onAnswer?: (id: string, text: string) => void;
}

/** Result of reading a response; all fields but `text` go into the request's record. */
interface AnswerResult extends Pick<
  RequestRecord,
  'outcome' | 'code' | 'ran' | 'answer' | 'firstTokenMs'
> {
  /** Answer text without the envelope. */
  text?: string;
}

const CALLER_TIMEOUT_MS = 120_000;
const KEEP_ALIVE_MS = 30_000;

/** Returns the wall-clock time in epoch milliseconds, with fractions; monotonic. */
export function wallClockMs(): number {
  return performance.timeOrigin + performance.now();
}

/** Parses an error body; `ran: 'no'` makes it a refusal, anything else a failure. */
function parseError(text: string): Pick<AnswerResult, 'outcome' | 'code' | 'ran'> {
  try {
    const body = JSON.parse(text) as { error?: object };
    const { code, ran } = (body.error ?? body) as { code?: string; ran?: 'no' | 'unknown' };
    return { outcome: ran === 'no' ? Outcome.Refused : Outcome.Failed, code, ran };
  } catch {
    return { outcome: Outcome.Failed, code: 'unreadable_error' };
  }
}

/** Reads a non-streaming answer; a body that cannot be parsed counts as incomplete. */
function readJson(http: HttpCall, body: string): AnswerResult {
  try {
    const text = http.readAnswer(body);
    return { outcome: Outcome.Completed, answer: checkAnswer(text, http.expected), text };
  } catch {
    return { outcome: Outcome.Completed, answer: AnswerCheck.Incomplete };
  }
}

async function readStream(http: HttpCall, body: AsyncIterable<Buffer>): Promise<AnswerResult> {
  const reader = createSseReader();
  const decoder = new TextDecoder();
  let firstTokenMs: number | undefined;
  for await (const chunk of body) {
    const hasContent = reader.push(decoder.decode(chunk, { stream: true }));
    if (hasContent) firstTokenMs ??= wallClockMs();
  }
  const { content, isDone, error } = reader.read();
  if (error !== undefined) return { ...parseError(JSON.stringify({ error })), firstTokenMs };
  // Common clients accept a stream without `[DONE]`, so it is a completed request with an incomplete answer.
  const check = checkAnswer(content, http.expected);
  const answer = check === AnswerCheck.Right && !isDone ? AnswerCheck.Incomplete : check;
  return { outcome: Outcome.Completed, answer, firstTokenMs, text: content };
}

async function readAnswer(http: HttpCall, res: Dispatcher.ResponseData): Promise<AnswerResult> {
  if (res.statusCode >= 300) return parseError(await res.body.text());
  if (http.isStream) return readStream(http, res.body as AsyncIterable<Buffer>);
  return readJson(http, await res.body.text());
}

function getHeader(res: Dispatcher.ResponseData, name: string): string | undefined {
  const value = getOwn(res.headers, name);
  return Array.isArray(value) ? value[0] : value;
}

function errorCode(err: unknown): string {
  const { code, name } = err as { code?: string; name?: string };
  return String(code ?? name ?? err);
}

/** Creates a load client with its own connection pool. */
export function createLoadClient(options: LoadClientOptions = {}): LoadClient {
  const { timeoutMs = CALLER_TIMEOUT_MS, onAnswer } = options;
  const dispatcher = new Agent({
    keepAliveTimeout: KEEP_ALIVE_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  const sendHttp = async (http: HttpCall, req: ScheduledRequest, destination: Destination) => {
    const res = await request(`${destination.url}${http.path}`, {
      dispatcher,
      method: http.method,
      headers: {
        ...http.headers,
        authorization: `Bearer ${destination.apiKey}`,
        'x-bench-request': req.id,
      },
      body: http.body,
      signal: AbortSignal.timeout(timeoutMs),
    });
    return {
      status: res.statusCode,
      attempt: getHeader(res, 'x-kingcupsill-attempt'),
      backend: getHeader(res, 'x-kingcupsill-backend'),
      ...(await readAnswer(http, res)),
    };
  };

  const send = async (req: ScheduledRequest, destination: Destination): Promise<RequestRecord> => {
    const http = toHttpCall(req);
    const sentMs = wallClockMs();
    const { text, ...result } = await sendHttp(http, req, destination).catch(
      (err: unknown): AnswerResult & { status: number } => ({
        status: 0,
        outcome: Outcome.Failed,
        code: errorCode(err),
      }),
    );
    if (text !== undefined) onAnswer?.(req.id, text);
    return {
      id: req.id,
      logicalId: req.logicalId,
      account: req.account,
      service: req.call.service,
      pool: destination.pool,
      router: destination.router,
      idempotent: isIdempotent(req.call),
      sentMs,
      endMs: wallClockMs(),
      ...result,
    };
  };

  return { send, close: () => dispatcher.destroy() };
}
