/** Transport of calls to the platform's store. */
import { Agent, request } from 'node:http';
import type { SendStoreCall, StoreCall } from '@kingcupsill/prepared-platform';

/** Sends calls over kept connections. */
export interface StoreTransport {
  send: SendStoreCall;
  close(): void;
}

type Answer = Awaited<ReturnType<SendStoreCall>>;

/** Creates the transport. A call without an answer in time takes its connection with it: what comes there later is nobody's. */
export function createStoreTransport(
  address: () => { host: string; port: number },
): StoreTransport {
  const agent = new Agent({ keepAlive: true, maxFreeSockets: 4, noDelay: true });

  function send(call: StoreCall): Promise<Answer> {
    return new Promise((resolve) => {
      const { host, port } = address();
      const body = call.body === undefined ? undefined : Buffer.from(call.body);
      const headers: Record<string, string | number> = { Host: `${host}:${port}` };
      if (body !== undefined) {
        headers['Content-Type'] = 'application/json';
        headers['Content-Length'] = body.length;
      }
      const { method, path } = call;
      const req = request({ agent, host, port, method, path, headers });
      const timer = setTimeout(() => fail('no answer in time'), call.timeoutMs);

      function settle(answer: Answer): void {
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

  return { send, close: () => agent.destroy() };
}
