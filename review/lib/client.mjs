/* eslint-disable no-use-before-define -- off for .ts files too */
/** Client of the system: sends one request, on a kept connection or a new one, and records what it gets. */
import { Agent, request } from 'node:http';

let attempts = 0;

/** A kept connection to a machine. */
export function keepConnection() {
  return new Agent({ keepAlive: true, maxSockets: 1 });
}

/**
 * Sends a request; the promise never rejects. The result has `status` (undefined without an answer), `complete`, `body`, `headers`
 * and the time that it took.
 */
export function call(
  machine,
  { method = 'GET', host, path, key, deadlineMs, body, agent, headers },
) {
  attempts += 1;
  const attemptId = `${process.pid.toString(16)}${attempts.toString(16).padStart(8, '0')}`;
  const sentAtMs = performance.now();
  return new Promise((resolve) => {
    const own = agent === undefined ? new Agent() : undefined;
    const finish = (result) => {
      clearTimeout(timer);
      own?.destroy();
      const tookMs = Math.round(performance.now() - sentAtMs);
      resolve({ attemptId, sentAtMs, tookMs, machine: machine.name, ...result });
    };
    const req = request({
      host: machine.host,
      port: machine.port,
      method,
      path,
      agent: agent ?? own,
      headers: {
        Host: host,
        'Attempt-Id': attemptId,
        'Deadline-Ms': String(deadlineMs),
        ...(key === undefined ? {} : { Credential: key }),
        ...(body === undefined ? {} : { 'Content-Length': body.length }),
        ...headers,
      },
    });
    const timer = setTimeout(() => {
      finish({ status: undefined, complete: false, reason: 'deadline passed' });
      req.destroy();
    }, deadlineMs);
    req.on('response', (res) => {
      const chunks = [];
      res.on('data', (chunk) => chunks.push(chunk));
      res.on('error', () => undefined);
      res.on('close', () =>
        finish({
          status: res.statusCode,
          headers: res.headers,
          complete: res.complete,
          body: Buffer.concat(chunks).toString('utf8'),
        }),
      );
    });
    req.on('error', (err) => finish({ status: undefined, complete: false, reason: err.code }));
    req.end(body);
  });
}
