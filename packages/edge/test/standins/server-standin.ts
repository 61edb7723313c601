/** Stand-in of a backend server on the platform, with a request handler supplied by the test. */
import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { listenOn } from '@kingcupsill/runtime';

/** Received request with its complete body. */
export interface Arrival {
  req: IncomingMessage;
  res: ServerResponse;
  body: string;
  header(name: string): string | undefined;
}

export interface ServerStandin {
  port: number;
  arrivals: Arrival[];
  /** Requests whose connection closed before the answer was sent. */
  dropped: Arrival[];
  close(): void;
}

/** Returns the headers of a valid answer to a request. */
export function signedHeaders(
  { header }: Arrival,
  extraHeaders: Record<string, string> = {},
): Record<string, string> {
  return { 'Response-Signature': 'sig', 'Attempt-Id': header('attempt-id') ?? '', ...extraHeaders };
}

/** Sends a valid answer with status 200. */
export function sendAnswer(arrival: Arrival, body = 'answer'): void {
  arrival.res.writeHead(200, signedHeaders(arrival, { 'Content-Length': String(body.length) }));
  arrival.res.end(body);
}

/** Writes an answer to the socket directly, so that a test can send malformed or truncated messages. */
export function writeRawAnswer(arrival: Arrival, headerLines: string[], body: string): Socket {
  const { socket } = arrival.req;
  const headers = Object.entries(signedHeaders(arrival)).map(
    ([name, value]) => `${name}: ${value}`,
  );
  socket.write(`HTTP/1.1 200 OK\r\n${[...headers, ...headerLines].join('\r\n')}\r\n\r\n${body}`);
  return socket;
}

export async function createServerStandin(
  onArrival: (arrival: Arrival) => void,
): Promise<ServerStandin> {
  const arrivals: Arrival[] = [];
  const dropped: Arrival[] = [];
  const server = createServer((req, res) => {
    let body = '';
    req.on('data', (chunk: Buffer) => {
      body += chunk.toString();
    });
    req.on('end', () => {
      const header = (name: string) => req.headers[name] as string | undefined;
      const arrival = { req, res, body, header };
      arrivals.push(arrival);
      res.on('close', () => {
        if (!res.writableFinished) dropped.push(arrival);
      });
      onArrival(arrival);
    });
  });
  const port = await listenOn(server, { host: '127.0.0.1', port: 0 });
  return {
    port,
    arrivals,
    dropped,
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
