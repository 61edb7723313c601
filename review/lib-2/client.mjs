/** Stand-in of a client: one connection, one request at a time, and the bytes of the answer as they arrive. */
import { connect } from 'node:net';

const LAST_CHUNK = '0\r\n\r\n';
/** Answers up to this size are parsed at each read; larger ones once their last chunk seems to be there. */
const MAX_PARSED_BYTES = 64 * 1024;

/** Returns the head and the decoded body of an answer, and whether its framing states that it is complete. */
export function parseAnswer(text) {
  const headEnd = text.indexOf('\r\n\r\n');
  if (headEnd < 0) return { status: undefined, headers: {}, body: '', complete: false };
  const [statusLine, ...lines] = text.slice(0, headEnd).split('\r\n');
  const headers = {};
  lines.forEach((line) => {
    const colon = line.indexOf(':');
    headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim();
  });
  const status = Number(statusLine.split(' ')[1]);
  const rest = text.slice(headEnd + 4);
  if (headers['content-length'] !== undefined) {
    const length = Number(headers['content-length']);
    return { status, headers, body: rest.slice(0, length), complete: rest.length >= length };
  }
  const parts = [];
  for (let at = 0; ;) {
    const lineEnd = rest.indexOf('\r\n', at);
    const size = lineEnd < 0 ? NaN : parseInt(rest.slice(at, lineEnd), 16);
    const end = lineEnd + 2 + size + 2;
    if (Number.isNaN(size) || rest.length < end)
      return { status, headers, body: parts.join(''), complete: false };
    if (size === 0) return { status, headers, body: parts.join(''), complete: true };
    parts.push(rest.slice(lineEnd + 2, lineEnd + 2 + size));
    at = end;
  }
}

/** Opens a connection to a router. */
export async function openClient(port) {
  const socket = connect(port, '127.0.0.1');
  const state = { text: [], tail: '', bytes: 0, ended: undefined, closed: false };
  let onProgress = () => undefined;
  socket.on('data', (bytes) => {
    const text = bytes.toString('latin1');
    state.text.push(text);
    state.tail = (state.tail + text).slice(-16);
    state.bytes += bytes.length;
    onProgress();
  });
  socket.on('end', () => {
    state.ended ??= 'FIN';
  });
  socket.on('error', (err) => {
    state.ended ??= err.code;
  });
  socket.on('close', () => {
    state.closed = true;
    onProgress();
  });
  await new Promise((resolve, reject) => {
    socket.once('connect', resolve);
    socket.once('error', reject);
  });
  return {
    socket,
    state,
    /** Calls back at each read and at the end of the connection. */
    watch(callback) {
      onProgress = callback;
    },
    send({ method = 'POST', path, host, headers = {}, body = '' }) {
      Object.assign(state, { text: [], tail: '', bytes: 0 });
      const lines = [
        `${method} ${path} HTTP/1.1`,
        `Host: ${host}`,
        ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
        ...(body === '' ? [] : [`Content-Length: ${body.length}`]),
      ];
      socket.write(`${lines.join('\r\n')}\r\n\r\n${body}`, 'latin1');
    },
    answer: () => parseAnswer(state.text.join('')),
    close: () => socket.destroy(),
  };
}

/** Sends a request and resolves with its answer, once it is complete, the connection has ended, or `timeoutMs` have passed. */
export async function call(client, request, timeoutMs) {
  client.send(request);
  await new Promise((resolve) => {
    const timer = setTimeout(resolve, timeoutMs);
    const check = () => {
      const mayBeComplete =
        client.state.bytes < MAX_PARSED_BYTES || client.state.tail.endsWith(LAST_CHUNK);
      if (!client.state.closed && !(mayBeComplete && client.answer().complete)) return;
      clearTimeout(timer);
      resolve();
    };
    client.watch(check);
  });
  client.watch(() => undefined);
  return { ...client.answer(), ended: client.state.ended, closed: client.state.closed };
}
