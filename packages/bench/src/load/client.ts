/** Sends scheduled requests to routers and records what their callers see. */
import { Agent, request } from 'undici';
import type { Dispatcher } from 'undici';
import { AnswerCheck, Outcome } from '../measure/types.js';
import type { RequestRecord } from '../measure/types.js';
import { checkAnswer } from './answers.js';
import { isIdempotent, toHttpCall } from './calls.js';
import type { HttpCall } from './calls.js';
import { createSseReader } from './sse.js';
import type { ScheduledRequest } from './types.js';

/** Where requests of an account go, and what they carry. */
export interface Destination {
  /** Name of the router. */
  router: string;
  url: string;
  apiKey: string;
  pool: string;
}

/** Sends requests over kept-alive connections. */
export interface LoadClient {
  /** Sends one request; never rejects. */
  send: (req: ScheduledRequest, to: Destination) => Promise<RequestRecord>;
  close: () => Promise<void>;
}

/** Options of the client. */
export interface LoadClientOptions {
  /** Time after which a caller gives up, in milliseconds. @default 120000 */
  timeoutMs?: number;
  /** Told the text of each answer that was passed as complete. */
  onAnswer?: (id: string, text: string) => void;
}

/** How an answer ended, as far as the record needs it. */
interface Reading extends Pick<
  RequestRecord,
  'outcome' | 'code' | 'ran' | 'answer' | 'firstTokenMs'
> {
  /** The answer's text without its envelope. */
  text?: string;
}

const CALLER_TIMEOUT_MS = 120_000;
const KEEP_ALIVE_MS = 30_000;

/** Wall clock in milliseconds, with fractions; never steps back. */
export function wallClockMs(): number {
  return performance.timeOrigin + performance.now();
}

function readRefusal(text: string): Pick<Reading, 'outcome' | 'code' | 'ran'> {
  try {
    const body = JSON.parse(text) as { error?: object };
    const { code, ran } = (body.error ?? body) as { code?: string; ran?: 'no' | 'unknown' };
    return { outcome: ran === 'no' ? Outcome.Refused : Outcome.Failed, code, ran };
  } catch {
    return { outcome: Outcome.Failed, code: 'unreadable_error' };
  }
}

function readWhole(http: HttpCall, body: string): Reading {
  try {
    const text = http.readAnswer(body);
    return { outcome: Outcome.Completed, answer: checkAnswer(text, http.expected), text };
  } catch {
    return { outcome: Outcome.Completed, answer: AnswerCheck.Incomplete };
  }
}

async function readStream(http: HttpCall, body: AsyncIterable<Buffer>): Promise<Reading> {
  const reader = createSseReader();
  const decoder = new TextDecoder();
  let firstTokenMs: number | undefined;
  for await (const piece of body) {
    const hasContent = reader.push(decoder.decode(piece, { stream: true }));
    if (hasContent) firstTokenMs ??= wallClockMs();
  }
  const { content, isDone, error } = reader.read();
  if (error !== undefined) return { ...readRefusal(JSON.stringify({ error })), firstTokenMs };
  // A stream that ends without its end mark looks complete to common clients.
  const check = checkAnswer(content, http.expected);
  const answer = check === AnswerCheck.Right && !isDone ? AnswerCheck.Incomplete : check;
  return { outcome: Outcome.Completed, answer, firstTokenMs, text: content };
}

async function readAnswer(http: HttpCall, res: Dispatcher.ResponseData): Promise<Reading> {
  if (res.statusCode >= 300) return readRefusal(await res.body.text());
  if (http.isStream) return readStream(http, res.body as AsyncIterable<Buffer>);
  return readWhole(http, await res.body.text());
}

function headerText(res: Dispatcher.ResponseData, name: string): string | undefined {
  const value = res.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function errorCode(err: unknown): string {
  const { code, name } = err as { code?: string; name?: string };
  return String(code ?? name ?? err);
}

/** Creates a client with its own connections. */
export function createLoadClient(options: LoadClientOptions = {}): LoadClient {
  const { timeoutMs = CALLER_TIMEOUT_MS, onAnswer } = options;
  const dispatcher = new Agent({
    keepAliveTimeout: KEEP_ALIVE_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  const exchange = async (http: HttpCall, req: ScheduledRequest, to: Destination) => {
    const res = await request(`${to.url}${http.path}`, {
      dispatcher,
      method: http.method,
      headers: {
        ...http.headers,
        authorization: `Bearer ${to.apiKey}`,
        'x-bench-request': req.id,
      },
      body: http.body,
      signal: AbortSignal.timeout(timeoutMs),
    });
    return {
      status: res.statusCode,
      attempt: headerText(res, 'x-kingcupsill-attempt'),
      backend: headerText(res, 'x-kingcupsill-backend'),
      ...(await readAnswer(http, res)),
    };
  };

  const send = async (req: ScheduledRequest, to: Destination): Promise<RequestRecord> => {
    const http = toHttpCall(req);
    const sentMs = wallClockMs();
    const { text, ...seen } = await exchange(http, req, to).catch(
      (err: unknown): Reading & { status: number } => ({
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
      pool: to.pool,
      router: to.router,
      idempotent: isIdempotent(req.call),
      sentMs,
      endMs: wallClockMs(),
      ...seen,
    };
  };

  return { send, close: () => dispatcher.destroy() };
}
