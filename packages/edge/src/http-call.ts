/** One short HTTP call with a deadline. */
import { request } from 'node:http';
import type { Agent } from 'node:http';

/** A call. */
export interface HttpCall {
  agent: Agent;
  host: string;
  port: number;
  method: string;
  path: string;
  body?: string | undefined;
  timeoutMs: number;
}

/** Its answer, or why there is none. */
export type HttpCallResult =
  { ok: true; status: number; body: string } | { ok: false; detail: string };

/**
 * Sends a call; never rejects. A time-out closes the connection, so that a late answer is not taken for the next call's.
 */
export function sendHttpCall(call: HttpCall): Promise<HttpCallResult> {
  return new Promise((resolve) => {
    const { agent, host, port, method, path } = call;
    const body = call.body === undefined ? undefined : Buffer.from(call.body);
    const headers: Record<string, string | number> = { Host: `${host}:${port}` };
    if (body !== undefined) {
      headers['Content-Type'] = 'application/json';
      headers['Content-Length'] = body.length;
    }
    const req = request({ agent, host, port, method, path, headers });
    const timer = setTimeout(() => fail('no answer in time'), call.timeoutMs);

    function settle(answer: HttpCallResult): void {
      clearTimeout(timer);
      resolve(answer);
    }
    function fail(detail: string): void {
      settle({ ok: false, detail });
      req.destroy();
    }

    req.on('response', (res) => {
      const chunks: Buffer[] = [];
      res.on('data', (chunk: Buffer) => chunks.push(chunk));
      res.on('error', (err) => fail(err.message));
      res.on('close', () => fail('answer cut short'));
      res.on('end', () => {
        if (!res.complete) return;
        const text = Buffer.concat(chunks).toString('utf8');
        settle({ ok: true, status: res.statusCode!, body: text });
      });
    });
    req.on('error', (err) => fail(err.message));
    req.end(body);
  });
}
