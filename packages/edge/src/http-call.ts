/** HTTP call with a timeout and a buffered response. */
import { request } from 'node:http';
import type { Agent, ClientRequest, IncomingHttpHeaders } from 'node:http';
import { callAfter } from '@kingcupsill/runtime';
import { createByteCollector } from '@kingcupsill/core/bytes';
import { hasTooManyPieces } from './piece-limit.js';

/** HTTP call. */
export interface HttpCall {
  agent: Agent;
  host: string;
  port: number;
  method: string;
  path: string;
  body?: string | undefined;
  timeoutMs: number;
  /** Aborts the call, which then fails, and closes its connection. */
  signal?: AbortSignal | undefined;
  /** Maximum size of the response's body. */
  maxBytes: number;
}

/** Response, or the reason why there is none. */
export type HttpCallResult =
  | { ok: true; status: number; headers: IncomingHttpHeaders; body: Buffer }
  | { ok: false; detail: string; isTooLarge?: boolean };

/** No store or engine sends any; each costs processor time, and they come before any limit of the response. */
const MAX_INTERIM_RESPONSES = 16;

function openRequest(
  { agent, host, port, method, path, signal }: HttpCall,
  body: Buffer | undefined,
): ClientRequest {
  const headers: Record<string, string | number> = { Host: `${host}:${port}` };
  if (body !== undefined) {
    headers['Content-Type'] = 'application/json';
    headers['Content-Length'] = body.length;
  }
  return request({ agent, host, port, method, path, headers, signal });
}

/**
 * Sends a call. The promise never rejects. A timeout closes the connection, so that a late response isn't taken for that of the
 * next call.
 */
export function sendHttpCall(call: HttpCall): Promise<HttpCallResult> {
  return new Promise((resolve) => {
    const body = call.body === undefined ? undefined : Buffer.from(call.body);
    let req: ClientRequest;
    try {
      req = openRequest(call, body);
    } catch (err) {
      resolve({ ok: false, detail: (err as Error).message });
      return;
    }
    const timer = callAfter(call.timeoutMs, () => fail('response timeout'));

    function settle(result: HttpCallResult): void {
      timer.close();
      resolve(result);
    }
    function fail(detail: string, isTooLarge = false): void {
      settle(isTooLarge ? { ok: false, detail, isTooLarge } : { ok: false, detail });
      req.destroy();
    }

    let interimResponses = 0;
    req.on('information', () => {
      interimResponses += 1;
      if (interimResponses > MAX_INTERIM_RESPONSES) fail('too many interim responses');
    });
    req.on('response', (res) => {
      const collector = createByteCollector();
      let receivedBytes = 0;
      let pieces = 0;
      res.on('data', (chunk: Buffer) => {
        receivedBytes += chunk.length;
        pieces += 1;
        if (receivedBytes > call.maxBytes) fail('response too large', true);
        else if (hasTooManyPieces(pieces, receivedBytes)) fail('response in too many pieces');
        else collector.add(chunk);
      });
      res.on('error', (err) => fail(err.message));
      res.on('close', () => fail('response ended early'));
      res.on('end', () => {
        if (!res.complete) return;
        const received = Buffer.concat(collector.chunks());
        settle({ ok: true, status: res.statusCode!, headers: res.headers, body: received });
      });
    });
    req.on('error', (err) => fail(err.message));
    req.end(body);
  });
}
