/** Listens for links and authenticates those who dial. */
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

const REFUSED_STATUS_LINE = 'HTTP/1.1 400 Bad Request';

function createHttpServer(tls: LinkTls | undefined): Server {
  const answerPlain = (_req: IncomingMessage, res: ServerResponse) => {
    res.writeHead(426, { upgrade: 'websocket' }).end();
  };
  if (tls === undefined) return createServer(answerPlain);
  return createTlsServer({ ...tls, requestCert: true, rejectUnauthorized: true }, answerPlain);
}

function refuseUpgrade(socket: Duplex, code: RefusalCode): void {
  socket.on('error', () => {});
  const head = [REFUSED_STATUS_LINE, `${HandshakeHeader.Refused}: ${code}`, 'connection: close'];
  socket.end(`${head.join('\r\n')}\r\n\r\n`);
}

async function listen(server: Server, port: number, host: string): Promise<number> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return (server.address() as AddressInfo).port;
}

/** Starts a server. Rejects when it can't listen, or would take plain TCP from other machines without leave. */
export async function createLinkServer(given: LinkServerOptions): Promise<LinkServer> {
  const options = resolveOptions(given);
  const { host = '127.0.0.1', port = 0, tls } = options;
  if (tls === undefined && !options.allowPlainTcp && !isLoopbackHost(host)) {
    throw new VError("link host %s isn't loopback: plain TCP must be allowed or TLS set", host);
  }
  const keyring = createKeyring(options.fleetKey, options.fleetKeyPrevious);
  const links = createLinkSet(options);
  const refusals = createRefusalLog(options);
  const pending = new WeakMap<IncomingMessage, PendingHandshake>();
  const server = createHttpServer(tls);
  const sockets = new WebSocketServer({
    noServer: true,
    maxPayload: options.maxMessageBytes,
    perMessageDeflate: false,
  });

  function onSocket(ws: WebSocket, peer: PendingHandshake): void {
    authenticateDialer(ws, peer, keyring, options, (outcome) => {
      if (outcome.ok) {
        links.open(outcome.value);
        return;
      }
      refusals.add({ code: outcome.code, address: peer.address, detail: outcome.detail });
      refuseHandshake(ws, outcome.code);
    });
  }

  function onUpgrade(req: IncomingMessage, socket: Duplex, head: Buffer): void {
    const address = req.socket.remoteAddress ?? 'unknown';
    const offer = readDialerNonce(req.headers);
    if (!offer.ok) {
      refusals.add({ code: offer.code, address, detail: offer.detail });
      refuseUpgrade(socket, offer.code);
      return;
    }
    const peer = { dialerNonce: offer.value, serverNonce: createNonce(), address };
    pending.set(req, peer);
    sockets.handleUpgrade(req, socket, head, (ws) => onSocket(ws, peer));
  }

  sockets.on('headers', (headers, req) => {
    const peer = pending.get(req)!;
    headers.push(`${HandshakeHeader.Nonce}: ${peer.serverNonce}`);
    headers.push(`${HandshakeHeader.Proofs}: ${createServerProofs(peer, keyring).join(' ')}`);
  });
  server.on('upgrade', onUpgrade);
  server.on('tlsClientError', (err, socket) => {
    const address = socket.remoteAddress ?? 'unknown';
    refusals.add({ code: RefusalCode.UntrustedCertificate, address, detail: err.message });
  });

  async function close(): Promise<void> {
    const closed = promisify(server.close.bind(server))();
    const linksClosed = links.close(CloseReason.Closed);
    server.closeAllConnections();
    // Those still open have not finished their handshake.
    sockets.clients.forEach((ws) => ws.readyState === ws.OPEN && ws.terminate());
    await Promise.all([closed, linksClosed]);
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
