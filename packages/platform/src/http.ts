/** HTTP calls to the platform, with faults as values. */
import { fetch as undiciFetch } from 'undici';

import type {
  PlatformClientOptions,
  RateLimitedFailure,
  UnavailableFailure,
  UnknownWriteOutcome,
} from './types.js';

const DEFAULT_TIMEOUT_MS = 2000;
const DEFAULT_RETRY_AFTER_MS = 1000;

/** Errors after which the request was certainly not sent. */
const NOT_SENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EAI_AGAIN',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** A call and how long it may take. */
export interface HttpCall {
  method: 'GET' | 'PUT' | 'DELETE';
  path: string;
  headers?: Record<string, string>;
  body?: Uint8Array;
  /** Replaces the client's time allowed. */
  timeoutMs?: number;
  signal?: AbortSignal;
}

/** A complete answer. */
export interface HttpResponse {
  ok: true;
  status: number;
  /** Version from the `ETag`; undefined when absent or malformed. */
  version: number | undefined;
  retryAfterMs: number;
  body: Uint8Array;
}

/** No complete answer came. */
export interface HttpFailure {
  ok: false;
  /** Whether the request may have reached the service. */
  mayHaveBeenSent: boolean;
  message: string;
}

export type HttpOutcome = HttpResponse | HttpFailure;
export type HttpClient = (call: HttpCall) => Promise<HttpOutcome>;

const errorCode = (err: unknown): string | undefined => {
  if (!(err instanceof Error)) return undefined;
  const { code } = err as { code?: unknown };
  return typeof code === 'string' ? code : errorCode(err.cause);
};

const toFault = (err: unknown): HttpFailure => {
  const code = errorCode(err);
  const text = err instanceof Error ? err.message : String(err);
  return {
    ok: false,
    mayHaveBeenSent: code === undefined || !NOT_SENT_CODES.has(code),
    message: code === undefined ? text : `${text} (${code})`,
  };
};

const parseVersion = (etag: string | null): number | undefined => {
  const match = /^"(\d+)"$/.exec(etag ?? '');
  return match === null ? undefined : Number(match[1]);
};

const parseRetryAfterMs = (header: string | null): number => {
  const seconds = Number(header ?? Number.NaN);
  return Number.isFinite(seconds) && seconds >= 0 ? seconds * 1000 : DEFAULT_RETRY_AFTER_MS;
};

/** Creates the function through which a client makes its calls. */
export const createHttpClient = (options: PlatformClientOptions): HttpClient => {
  const { url, timeoutMs: defaultTimeoutMs = DEFAULT_TIMEOUT_MS, fetch = undiciFetch } = options;
  const base = url.replace(/\/+$/, '');

  return async ({ method, path, headers, body, signal, timeoutMs = defaultTimeoutMs }) => {
    const timeout = AbortSignal.timeout(timeoutMs);
    try {
      const res = await fetch(`${base}${path}`, {
        method,
        headers,
        body,
        signal: signal === undefined ? timeout : AbortSignal.any([signal, timeout]),
      });
      return {
        ok: true,
        status: res.status,
        version: parseVersion(res.headers.get('etag')),
        retryAfterMs: parseRetryAfterMs(res.headers.get('retry-after')),
        body: new Uint8Array(await res.arrayBuffer()),
      };
    } catch (err) {
      return toFault(err);
    }
  };
};

const HttpStatus = { TooManyRequests: 429, ServiceUnavailable: 503 } as const;

const decoder = new TextDecoder();

const describe = (answer: HttpResponse): string => {
  const text = decoder.decode(answer.body.subarray(0, 200));
  return text === '' ? `status ${answer.status}` : `status ${answer.status}: ${text}`;
};

const rateLimited = (answer: HttpResponse): RateLimitedFailure => ({
  ok: false,
  code: 'rate-limited',
  retryAfterMs: answer.retryAfterMs,
});

/** What an unexpected outcome of a read means. */
export const toReadFailure = (outcome: HttpOutcome): RateLimitedFailure | UnavailableFailure => {
  if (!outcome.ok) return { ok: false, code: 'unavailable', message: outcome.message };
  if (outcome.status === HttpStatus.TooManyRequests) return rateLimited(outcome);
  return { ok: false, code: 'unavailable', message: describe(outcome) };
};

/**
 * What an unexpected outcome of a write means. A 503 says that the service did not handle the request; any other server error,
 * or no answer to a request that may have been sent, leaves open whether the write took effect.
 */
export const toWriteFailure = (
  outcome: HttpOutcome,
): RateLimitedFailure | UnavailableFailure | UnknownWriteOutcome => {
  if (!outcome.ok) {
    return {
      ok: false,
      code: outcome.mayHaveBeenSent ? 'unknown' : 'unavailable',
      message: outcome.message,
    };
  }
  if (outcome.status === HttpStatus.TooManyRequests) return rateLimited(outcome);
  const handled = outcome.status !== HttpStatus.ServiceUnavailable;
  return { ok: false, code: handled ? 'unknown' : 'unavailable', message: describe(outcome) };
};

/** Parses a JSON body; undefined when it is malformed. */
export const parseJson = (body: Uint8Array): unknown => {
  try {
    return JSON.parse(decoder.decode(body));
  } catch {
    return undefined;
  }
};
