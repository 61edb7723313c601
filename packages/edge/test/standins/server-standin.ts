/** Stand-in of a backend server on the platform: each test says how it answers. */
import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { listenOn } from '@kingcupsill/runtime';

/** One request that arrived. */
export interface Arrival {
  req: IncomingMessage;
  res: ServerResponse;
  body: string;
  header(name: string): string | undefined;
}

export interface ServerStandin {
  port: number;
  arrivals: Arrival[];
  /** Arrivals whose connection closed before they were answered. */
  dropped: Arrival[];
  close(): void;
}

/** Headers of a right answer. */
export function signedHeaders(
  { header }: Arrival,
  extraHeaders: Record<string, string> = {},
): Record<string, string> {
  return { 'Response-Signature': 'sig', 'Attempt-Id': header('attempt-id') ?? '', ...extraHeaders };
}

/** Answers with a small body. */
export function sendAnswer(arrival: Arrival, body = 'answer'): void {
  arrival.res.writeHead(200, signedHeaders(arrival, { 'Content-Length': String(body.length) }));
  arrival.res.end(body);
}

/** Writes an answer byte by byte as the test wants it, past the HTTP library. */
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
