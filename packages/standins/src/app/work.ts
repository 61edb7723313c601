/** Work times, journal entries and answers of application requests. */
import { getOwn } from '@kingcupsill/core/collections';
import type { IncomingMessage } from 'node:http';
import { randomUUID } from 'node:crypto';
import { sha256 } from '../common/digest.js';
import type { Random } from '../common/random.js';
import type { AppAnswer, AppRunEntry } from './types.js';

const MAX_WORK_MS = 600_000;
const MAX_MEAN_MULTIPLE = 10;

const getHeader = (req: IncomingMessage, name: string): string | undefined => {
  const value = getOwn(req.headers, name);
  return typeof value === 'string' && value !== '' ? value : undefined;
};

/** Returns the work time set by `x-standin-work-ms`, otherwise an exponentially distributed one with this mean, in milliseconds. */
export const sampleWorkTimeMs = (req: IncomingMessage, meanMs: number, random: Random): number => {
  const requestedMs = Number(getHeader(req, 'x-standin-work-ms') ?? Number.NaN);
  if (requestedMs >= 0) return Math.min(requestedMs, MAX_WORK_MS);
  return Math.min(-Math.log(1 - random()) * meanMs, meanMs * MAX_MEAN_MULTIPLE);
};

/** Creates the journal entry of a request that starts now. */
export const createEntry = (req: IncomingMessage, digest: string): AppRunEntry => ({
  requestId: getHeader(req, 'x-request-id') ?? randomUUID(),
  benchRequest: getHeader(req, 'x-bench-request') ?? null,
  method: req.method ?? '',
  path: req.url ?? '',
  digest,
  startedAtMs: Date.now(),
  endedAtMs: null,
  outcome: 'running',
});

/** Returns the expected `result` of an answer, so that callers can verify it. */
export const expectedResult = (method: string, path: string, digest: string): string =>
  sha256(`${method} ${path} ${digest}`).slice(0, 16);

/** Creates the JSON answer to a request. */
export const createAnswer = ({ requestId, method, path, digest }: AppRunEntry): AppAnswer => ({
  requestId,
  method,
  path,
  digest,
  result: expectedResult(method, path, digest),
});
