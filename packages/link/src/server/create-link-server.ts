/** Server that authenticates dialers and accepts their links. */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer as createTlsServer } from 'node:https';
import type { AddressInfo } from 'node:net';
import type { Duplex } from 'node:stream';
import { promisify } from 'node:util';
import VError from 'verror';
import { WebSocketServer } from 'ws';
import type { WebSocket } from 'ws';
import { isLoopbackHost } from '../address.js';
import { createNonce, HandshakeHeader, readDialerNonce } from '../auth/handshake.js';
import { createKeyring } from '../auth/keyring.js';
import { refuseHandshake } from '../auth/receive-first-frame.js';
import { createRefusalLog } from '../auth/refusal-log.js';
import { createLinkSet } from '../connection/link-set.js';
import { resolveOptions } from '../connection/options.js';
import { CloseReason, RefusalCode } from '../types.js';
import type { LinkServer, LinkServerOptions, LinkTls } from '../types.js';
import { authenticateDialer, createServerProofs } from './authenticate-dialer.js';
import type { PendingHandshake } from './authenticate-dialer.js';

const REJECTED_STATUS_LINE = 'HTTP/1.1 400 Bad Request';

function createHttpServer(tls: LinkTls | undefined): Server {
  const requireUpgrade = (_req: IncomingMessage, res: ServerResponse) => {
    res.writeHead(426, { upgrade: 'websocket' }).end();
  };
  if (tls === undefined) return createServer(requireUpgrade);
  return createTlsServer({ ...tls, requestCert: true, rejectUnauthorized: true }, requireUpgrade);
}

function rejectUpgrade(socket: Duplex, code: RefusalCode): void {
  socket.on('error', () => {});
  const head = [REJECTED_STATUS_LINE, `${HandshakeHeader.Refused}: ${code}`, 'connection: close'];
  socket.end(`${head.join('\r\n')}\r\n\r\n`);
}

async function listen(server: Server, port: number, host: string): Promise<number> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return (server.address() as AddressInfo).port;
}

/** Starts a server. Rejects if it can't listen, or if the host isn't loopback and neither TLS nor plain TCP is configured. */
export async function createLinkServer(userOptions: LinkServerOptions): Promise<LinkServer> {
  const options = resolveOptions(userOptions);
  const { host = '127.0.0.1', port = 0, tls } = options;
  if (tls === undefined && !options.allowPlainTcp && !isLoopbackHost(host)) {
    throw new VError("link host %s isn't loopback: allow plain TCP or configure TLS", host);
  }
  const keyring = createKeyring(options.fleetKey, options.fleetKeyPrevious);
  const links = createLinkSet(options);
  const refusals = createRefusalLog(options);
  const pendingHandshakes = new WeakMap<IncomingMessage, PendingHandshake>();
  const server = createHttpServer(tls);
  const webSocketServer = new WebSocketServer({
    noServer: true,
    maxPayload: options.maxMessageBytes,
    perMessageDeflate: false,
  });

  function onWebSocket(ws: WebSocket, handshake: PendingHandshake): void {
    authenticateDialer(ws, handshake, keyring, options, (result) => {
      if (result.ok) {
        links.open(result.value);
        return;
      }
      refusals.add({ code: result.code, address: handshake.address, detail: result.detail });
      refuseHandshake(ws, result.code);
    });
  }

  function onUpgrade(req: IncomingMessage, socket: Duplex, head: Buffer): void {
    const address = req.socket.remoteAddress ?? 'unknown';
    const dialerNonce = readDialerNonce(req.headers);
    if (!dialerNonce.ok) {
      refusals.add({ code: dialerNonce.code, address, detail: dialerNonce.detail });
      rejectUpgrade(socket, dialerNonce.code);
      return;
    }
    const handshake = { dialerNonce: dialerNonce.value, serverNonce: createNonce(), address };
    pendingHandshakes.set(req, handshake);
    webSocketServer.handleUpgrade(req, socket, head, (ws) => onWebSocket(ws, handshake));
  }

  webSocketServer.on('headers', (headers, req) => {
    const handshake = pendingHandshakes.get(req)!;
    headers.push(`${HandshakeHeader.Nonce}: ${handshake.serverNonce}`);
    headers.push(`${HandshakeHeader.Proofs}: ${createServerProofs(handshake, keyring).join(' ')}`);
  });
  server.on('upgrade', onUpgrade);
  server.on('tlsClientError', (err, socket) => {
    const address = socket.remoteAddress ?? 'unknown';
    refusals.add({ code: RefusalCode.UntrustedCertificate, address, detail: err.message });
  });

  async function close(): Promise<void> {
    const serverClosed = promisify(server.close.bind(server))();
    const linksClosed = links.close(CloseReason.Closed);
    server.closeAllConnections();
    // Sockets that are still open haven't completed their handshake.
    webSocketServer.clients.forEach((ws) => ws.readyState === ws.OPEN && ws.terminate());
    await Promise.all([serverClosed, linksClosed]);
  }

  const boundPort = await listen(server, port, host);
  return {
    port: boundPort,
    links: links.list,
    counters: links.counters,
    refusals: refusals.counts,
    close,
  };
}
