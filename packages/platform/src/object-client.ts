/** Client of the platform's object service, which has versioned objects, conditional writes and watches. */
import { z } from 'zod';

import { createHttpClient, parseJson, toReadFailure, toWriteFailure } from './http.js';
import type { HttpResponse, HttpClient, HttpOutcome } from './http.js';
import type {
  ConflictFailure,
  GetOutcome,
  ListOutcome,
  ObjectClient,
  PlatformClientOptions,
  PutCondition,
  PutOutcome,
  ReadFailure,
  RemoveOutcome,
  WatchOutcome,
  WatchRequest,
} from './types.js';

/** Timeout of a watch call beyond the time for which the service holds it open. */
const WATCH_TIMEOUT_MARGIN_MS = 2000;

const listSchema = z.object({
  version: z.number().int().nonnegative(),
  objects: z.array(z.object({ key: z.string(), version: z.number().int() })),
});

const watchSchema = z.object({
  version: z.number().int().nonnegative(),
  events: z.array(
    z.object({ key: z.string(), version: z.number().int(), deleted: z.boolean().default(false) }),
  ),
});

const objectPath = (key: string): string =>
  `/v1/objects/${key.split('/').map(encodeURIComponent).join('/')}`;

const toConflictFailure = (response: HttpResponse): ConflictFailure => ({
  ok: false,
  code: 'conflict',
  currentVersion: response.version,
});

const putHeaders = ({ ifVersion, ifAbsent }: PutCondition): Record<string, string> => ({
  'content-type': 'application/octet-stream',
  ...(ifVersion === undefined ? {} : { 'if-match': `"${ifVersion}"` }),
  ...(ifAbsent === true ? { 'if-none-match': '*' } : {}),
});

const createMalformedFailure = (callName: string): ReadFailure => ({
  ok: false,
  code: 'unavailable',
  message: `the response to ${callName} is malformed`,
});

const toGetOutcome = (outcome: HttpOutcome): GetOutcome => {
  if (outcome.ok && outcome.status === 404) return { ok: false, code: 'not-found' };
  if (!outcome.ok || outcome.status !== 200) return toReadFailure(outcome);
  if (outcome.version === undefined) return createMalformedFailure('a read');
  return { ok: true, version: outcome.version, body: outcome.body };
};

const toPutOutcome = (outcome: HttpOutcome): PutOutcome => {
  if (!outcome.ok) return toWriteFailure(outcome);
  if (outcome.status === 412) return toConflictFailure(outcome);
  if (outcome.status === 413) {
    return { ok: false, code: 'rejected', message: 'the body exceeds the size limit' };
  }
  if (outcome.status !== 200 && outcome.status !== 201) return toWriteFailure(outcome);
  // The object was written, but the caller has to read it back to get its version.
  if (outcome.version === undefined) {
    return { ok: false, code: 'unknown', message: 'the response to a write has no version' };
  }
  return { ok: true, version: outcome.version };
};

const toRemoveOutcome = (outcome: HttpOutcome): RemoveOutcome => {
  if (!outcome.ok) return toWriteFailure(outcome);
  if (outcome.status === 204 || outcome.status === 200) return { ok: true };
  if (outcome.status === 404) return { ok: false, code: 'not-found' };
  if (outcome.status === 412) return toConflictFailure(outcome);
  return toWriteFailure(outcome);
};

const list = async (call: HttpClient, prefix: string): Promise<ListOutcome> => {
  const query = new URLSearchParams({ prefix });
  const outcome = await call({ method: 'GET', path: `/v1/objects?${query}` });
  if (!outcome.ok || outcome.status !== 200) return toReadFailure(outcome);
  const parsed = listSchema.safeParse(parseJson(outcome.body));
  return parsed.success ? { ok: true, ...parsed.data } : createMalformedFailure('a list');
};

const watch = async (call: HttpClient, request: WatchRequest): Promise<WatchOutcome> => {
  const { prefix, after, timeoutMs, signal } = request;
  const query = new URLSearchParams({
    prefix,
    after: String(after),
    timeoutMs: String(timeoutMs),
  });
  const path = `/v1/watch?${query}`;
  const outcome = await call({
    method: 'GET',
    path,
    signal,
    timeoutMs: timeoutMs + WATCH_TIMEOUT_MARGIN_MS,
  });
  if (outcome.ok && outcome.status === 410) return { ok: false, code: 'expired' };
  if (!outcome.ok || outcome.status !== 200) return toReadFailure(outcome);
  const parsed = watchSchema.safeParse(parseJson(outcome.body));
  return parsed.success ? { ok: true, ...parsed.data } : createMalformedFailure('a watch');
};

/** Creates a client of the object service. */
export const createObjectClient = (options: PlatformClientOptions): ObjectClient => {
  const call = createHttpClient(options);
  return {
    get: async (key) => toGetOutcome(await call({ method: 'GET', path: objectPath(key) })),
    put: async (key, body, condition = {}) =>
      toPutOutcome(
        await call({ method: 'PUT', path: objectPath(key), headers: putHeaders(condition), body }),
      ),
    remove: async (key, { ifVersion } = {}) =>
      toRemoveOutcome(
        await call({
          method: 'DELETE',
          path: objectPath(key),
          headers: ifVersion === undefined ? {} : { 'if-match': `"${ifVersion}"` },
        }),
      ),
    list: (prefix) => list(call, prefix),
    watch: (request) => watch(call, request),
  };
};
