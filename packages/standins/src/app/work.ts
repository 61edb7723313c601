/** Work times, journal entries and answers of the application server's requests. */
import type { IncomingMessage } from 'node:http';
import { randomUUID } from 'node:crypto';
import { sha256 } from '../common/digest.js';
import type { Random } from '../common/random.js';
import type { AppAnswer, AppRunEntry } from './types.js';

const WORK_LIMIT_MS = 600_000;
const MEAN_MULTIPLE_LIMIT = 10;

const headerOf = (req: IncomingMessage, name: string): string | undefined => {
  const value = req.headers[name];
  return typeof value === 'string' && value !== '' ? value : undefined;
};

/** Work time of a request: what `x-standin-work-ms` says, else exponential around the mean. */
export const workTimeMs = (req: IncomingMessage, meanMs: number, random: Random): number => {
  const asked = Number(headerOf(req, 'x-standin-work-ms') ?? Number.NaN);
  if (asked >= 0) return Math.min(asked, WORK_LIMIT_MS);
  return Math.min(-Math.log(1 - random()) * meanMs, meanMs * MEAN_MULTIPLE_LIMIT);
};

/** The journal entry of a request that starts now. */
export const startEntry = (req: IncomingMessage, digest: string): AppRunEntry => ({
  requestId: headerOf(req, 'x-request-id') ?? randomUUID(),
  benchRequest: headerOf(req, 'x-bench-request') ?? null,
  method: req.method ?? '',
  path: req.url ?? '',
  digest,
  startedAtMs: Date.now(),
  endedAtMs: null,
  outcome: 'running',
});

/** The result that the application server gives for a request; callers can check answers by it. */
export const expectedResult = (method: string, path: string, digest: string): string =>
  sha256(`${method} ${path} ${digest}`).slice(0, 16);

/** The JSON answer to a request. */
export const answerOf = ({ requestId, method, path, digest }: AppRunEntry): AppAnswer => ({
  requestId,
  method,
  path,
  digest,
  result: expectedResult(method, path, digest),
});
