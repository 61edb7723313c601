/** HTTP client of the platform, which returns network errors as values. */
import { fetch as undiciFetch } from 'undici';

import type {
  PlatformClientOptions,
  RateLimitedFailure,
  UnavailableFailure,
  UnknownWriteOutcome,
} from './types.js';

const DEFAULT_TIMEOUT_MS = 2000;
const DEFAULT_RETRY_AFTER_MS = 1000;

/** Codes of errors that occur before the request is sent. */
const NOT_SENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EAI_AGAIN',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** HTTP request with its timeout. */
export interface HttpRequest {
  method: 'GET' | 'PUT' | 'DELETE';
  path: string;
  headers?: Record<string, string>;
  body?: Uint8Array;
  /** Overrides the client's timeout. */
  timeoutMs?: number;
  signal?: AbortSignal;
}

/** Complete HTTP response. */
export interface HttpResponse {
  ok: true;
  status: number;
  /** Version from the `ETag` header; undefined if absent or malformed. */
  version: number | undefined;
  retryAfterMs: number;
  body: Uint8Array;
}

/** Failure without a complete response. */
export interface HttpFailure {
  ok: false;
  /** True if the request may have reached the service. */
  mayHaveBeenSent: boolean;
  message: string;
}

export type HttpOutcome = HttpResponse | HttpFailure;
export type HttpClient = (request: HttpRequest) => Promise<HttpOutcome>;

const findErrorCode = (err: unknown): string | undefined => {
  if (!(err instanceof Error)) return undefined;
  const { code } = err as { code?: unknown };
  return typeof code === 'string' ? code : findErrorCode(err.cause);
};

const toHttpFailure = (err: unknown): HttpFailure => {
  const code = findErrorCode(err);
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

/** Creates a function that sends HTTP requests to the platform. */
export const createHttpClient = (options: PlatformClientOptions): HttpClient => {
  const { url, timeoutMs: defaultTimeoutMs = DEFAULT_TIMEOUT_MS, fetch = undiciFetch } = options;
  const baseUrl = url.replace(/\/+$/, '');

  return async ({ method, path, headers, body, signal, timeoutMs = defaultTimeoutMs }) => {
    const timeout = AbortSignal.timeout(timeoutMs);
    try {
      const res = await fetch(`${baseUrl}${path}`, {
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
      return toHttpFailure(err);
    }
  };
};

const HttpStatus = { TooManyRequests: 429, ServiceUnavailable: 503 } as const;

const decoder = new TextDecoder();

const describeResponse = (response: HttpResponse): string => {
  const text = decoder.decode(response.body.subarray(0, 200));
  return text === '' ? `status ${response.status}` : `status ${response.status}: ${text}`;
};

const toRateLimitedFailure = (response: HttpResponse): RateLimitedFailure => ({
  ok: false,
  code: 'rate-limited',
  retryAfterMs: response.retryAfterMs,
});

/** Converts an unexpected outcome of a read. */
export const toReadFailure = (outcome: HttpOutcome): RateLimitedFailure | UnavailableFailure => {
  if (!outcome.ok) return { ok: false, code: 'unavailable', message: outcome.message };
  if (outcome.status === HttpStatus.TooManyRequests) return toRateLimitedFailure(outcome);
  return { ok: false, code: 'unavailable', message: describeResponse(outcome) };
};

/**
 * Converts an unexpected outcome of a write. After a 503, the service did not process the request; after any other error status, or
 * a missing response to a request that may have been sent, it is unknown whether the write took effect.
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
  if (outcome.status === HttpStatus.TooManyRequests) return toRateLimitedFailure(outcome);
  const mayBeHandled = outcome.status !== HttpStatus.ServiceUnavailable;
  return {
    ok: false,
    code: mayBeHandled ? 'unknown' : 'unavailable',
    message: describeResponse(outcome),
  };
};

/** Parses a JSON body; returns undefined if it is malformed. */
export const parseJson = (body: Uint8Array): unknown => {
  try {
    return JSON.parse(decoder.decode(body));
  } catch {
    return undefined;
  }
};
