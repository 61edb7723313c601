/** Stand-in of an engine or an application server: HTTP/1.1 over TCP, with the answers written byte by byte by the case. */
import { createServer } from 'node:net';

const HEAD_END = '\r\n\r\n';

function parseHead(text) {
  const [requestLine, ...lines] = text.split('\r\n');
  const [method, path] = requestLine.split(' ');
  const headers = {};
  lines.forEach((line) => {
    const colon = line.indexOf(':');
    headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim();
  });
  return { method, path, headers };
}

/** Returns the body and what follows it; undefined if it isn't complete. */
function takeBody(headers, rest) {
  if (headers['transfer-encoding'] === undefined) {
    const length = Number(headers['content-length'] ?? 0);
    return rest.length < length
      ? undefined
      : { body: rest.slice(0, length), rest: rest.slice(length) };
  }
  let body = '';
  let at = 0;
  for (;;) {
    const lineEnd = rest.indexOf('\r\n', at);
    if (lineEnd < 0) return undefined;
    const size = parseInt(rest.slice(at, lineEnd), 16);
    const end = lineEnd + 2 + size + 2;
    if (rest.length < end) return undefined;
    if (size === 0) return { body, rest: rest.slice(end) };
    body += rest.slice(lineEnd + 2, lineEnd + 2 + size);
    at = end;
  }
}

function sendPlain(socket, status, headers, body) {
  const lines = [`HTTP/1.1 ${status}`, ...headers, `Content-Length: ${body.length}`];
  socket.write(`${lines.join('\r\n')}${HEAD_END}${body}`);
}

/**
 * Starts an engine on a free loopback port. `onRequest` gets each request of a client with its connection and answers it; health checks
 * and the lists that the pages describe are answered here. Requests for another instance get 421.
 */
export async function startEngine({ id, service, zone = 'zone-a', slots = 64, onRequest }) {
  const sockets = new Set();
  const born = Date.now();

  function handle(socket, request) {
    const { method, path, headers } = request;
    if (method === 'GET' && path === '/healthz')
      sendPlain(socket, '200 OK', [`Instance-Id: ${id}`], '');
    else if (method === 'GET' && path === '/kv-list')
      sendPlain(
        socket,
        '200 OK',
        ['Content-Type: application/json'],
        '{"epoch":1,"nextToken":1,"held":[]}',
      );
    else if (headers['target-instance'] !== undefined && headers['target-instance'] !== id)
      sendPlain(socket, '421 Misdirected Request', [`Instance-Id: ${id}`], '');
    else onRequest(request, socket);
  }

  const server = createServer({ noDelay: true }, (socket) => {
    let pending = '';
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => {
      pending += bytes.toString('latin1');
      for (let headEnd = pending.indexOf(HEAD_END); headEnd >= 0;) {
        const head = parseHead(pending.slice(0, headEnd));
        const taken = takeBody(head.headers, pending.slice(headEnd + HEAD_END.length));
        if (taken === undefined) return;
        pending = taken.rest;
        handle(socket, { ...head, body: taken.body });
        headEnd = pending.indexOf(HEAD_END);
      }
    });
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address();
  return {
    id,
    port,
    /** Entry of this engine in the store. */
    entry: (changes = {}) => ({
      service,
      address: `127.0.0.1:${port}`,
      zone,
      version: 'v1',
      slots,
      state: 'ready',
      coldLeftMs: 0,
      born,
      sequence: 1,
      ...changes,
    }),
    close() {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
}

/** Formats one chunk of a chunked body. */
export const formatChunk = (text) => `${text.length.toString(16)}\r\n${text}\r\n`;
