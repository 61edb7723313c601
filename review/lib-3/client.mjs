/* eslint-disable import-x/extensions, import-x/prefer-default-export -- a plain script that runs without a build */
/** Clients of routers: one request on a connection of its own, and its answer as the client sees it. */
import { request } from 'node:http';
import { split } from './net.mjs';

let count = 0;

/** Sends a request. Resolves with what the client saw; never rejects. */
export function call(frontend, { host, path, method = 'POST', key, deadlineMs, ...options }) {
  count += 1;
  const attemptId = options.attemptId ?? `r${String(count).padStart(8, '0')}`;
  const body = options.body ?? '';
  const sentAtMs = Date.now();
  const headers = {
    Host: host,
    'Attempt-Id': attemptId,
    ...(key === undefined ? {} : { Credential: key }),
    ...(deadlineMs === undefined ? {} : { 'Deadline-Ms': deadlineMs }),
    ...(method === 'GET' ? {} : { 'Content-Length': Buffer.byteLength(body) }),
    ...(options.headers ?? {}),
  };
  return new Promise((resolve) => {
    let timer;
    function settle(outcome) {
      clearTimeout(timer);
      resolve({ attemptId, sentAtMs, endedAtMs: Date.now(), router: frontend, ...outcome });
    }
    const agent = options.agent ?? false;
    const req = request({ ...split(frontend), method, path, headers, agent }, (res) => {
      const chunks = [];
      res.on('data', (chunk) => chunks.push(chunk));
      res.on('error', () => undefined);
      res.on('close', () =>
        settle({
          status: res.statusCode,
          complete: res.complete,
          signature: res.headers['response-signature'],
          retryAfter: res.headers['retry-after'],
          body: Buffer.concat(chunks).toString('latin1'),
        }),
      );
    });
    req.on('error', (err) => settle({ status: undefined, complete: false, error: err.code }));
    if (deadlineMs !== undefined)
      timer = setTimeout(() => {
        req.destroy();
        settle({ status: undefined, complete: false, error: 'deadline' });
      }, deadlineMs);
    req.end(body);
  });
}
