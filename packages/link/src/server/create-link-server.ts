/** Listens for links and authenticates those who dial. */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer as createTlsServer } from 'node:https';
import type { AddressInfo } from 'node:net';
import type { Duplex } from 'node:stream';
import { promisify } from 'node:util';
import { PROTOCOL_VERSION } from '@kingcupsill/core';
import VError from 'verror';
import { WebSocketServer } from 'ws';
import type { WebSocket } from 'ws';
import { isLoopbackHost } from '../address.js';
import { createNonce, HandshakeHeader, parseDialerFrame, readOffer } from '../auth/handshake.js';
import type { DialerFrame, HandshakeStep } from '../auth/handshake.js';
import { createKeyring, Prover } from '../auth/keyring.js';
import type { ProofContext } from '../auth/keyring.js';
import { receiveFirstFrame, refuse } from '../auth/receive-first-frame.js';
import { createRefusalLog } from '../auth/refusal-log.js';
import { ownStructures } from '../codec/create-codec.js';
import { createLinkSet } from '../connection/link-set.js';
import { resolveOptions } from '../connection/options.js';
import { CloseReason, RefusalCode } from '../types.js';
import type { LinkServer, LinkServerOptions, LinkTls } from '../types.js';

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

/** An upgrade that was accepted, whose dialer has yet to prove itself. */
interface PendingPeer {
  dialerNonce: string;
  serverNonce: string;
  address: string;
}

/** Starts a server. Rejects when it can't listen, or would take plain TCP from other machines without leave. */
export async function createLinkServer(given: LinkServerOptions): Promise<LinkServer> {
  const options = resolveOptions(given);
  const { host = '127.0.0.1', port = 0, tls, logger, clock } = options;
  if (tls === undefined && !options.allowPlainTcp && !isLoopbackHost(host)) {
    throw new VError("link host %s isn't loopback: plain TCP must be allowed or TLS set", host);
  }
  const keyring = createKeyring(options.fleetKey, options.fleetKeyPrevious);
  const links = createLinkSet(options);
  const refusals = createRefusalLog(options);
  const pending = new WeakMap<IncomingMessage, PendingPeer>();
  const server = createHttpServer(tls);
  const sockets = new WebSocketServer({
    noServer: true,
    maxPayload: options.maxMessageBytes,
    perMessageDeflate: false,
  });

  function proofContext(peer: PendingPeer, prover: Prover): ProofContext {
    const { dialerNonce, serverNonce } = peer;
    return { prover, protocol: PROTOCOL_VERSION, dialerNonce, serverNonce };
  }

  function checkDialer(peer: PendingPeer, data: Buffer): HandshakeStep<DialerFrame> {
    const frame = parseDialerFrame(data);
    if (!frame.ok) return frame;
    const proven = keyring.verifies(proofContext(peer, Prover.Dialer), frame.value.proof);
    if (proven) return frame;
    return { ok: false, code: RefusalCode.WrongKey, detail: "the dialer's proof doesn't match" };
  }

  function authenticate(ws: WebSocket, peer: PendingPeer): void {
    const startedMs = clock();
    ws.on('error', (err) => logger.debug('link-error', { address: peer.address, err }));
    receiveFirstFrame(ws, options.handshakeTimeoutMs, (received) => {
      const frame = received.ok ? checkDialer(peer, received.value) : received;
      if (!frame.ok) {
        refusals.add({ code: frame.code, address: peer.address, detail: frame.detail });
        refuse(ws, frame.code);
        return;
      }
      ws.send(JSON.stringify({ hello: options.hello(), structures: ownStructures }));
      const { hello, structures } = frame.value;
      const rttMs = clock() - startedMs;
      links.open({ ws, peer: hello, peerStructures: structures, dialedAddress: undefined, rttMs });
    });
  }

  function onUpgrade(req: IncomingMessage, socket: Duplex, head: Buffer): void {
    const address = req.socket.remoteAddress ?? 'unknown';
    const offer = readOffer(req.headers);
    if (!offer.ok) {
      refusals.add({ code: offer.code, address, detail: offer.detail });
      refuseUpgrade(socket, offer.code);
      return;
    }
    const peer = { dialerNonce: offer.value, serverNonce: createNonce(), address };
    pending.set(req, peer);
    sockets.handleUpgrade(req, socket, head, (ws) => authenticate(ws, peer));
  }

  sockets.on('headers', (headers, req) => {
    const peer = pending.get(req)!;
    const proofs = keyring.proofs(proofContext(peer, Prover.Server));
    headers.push(`${HandshakeHeader.Nonce}: ${peer.serverNonce}`);
    headers.push(`${HandshakeHeader.Proofs}: ${proofs.join(' ')}`);
  });
  server.on('upgrade', onUpgrade);
  server.on('tlsClientError', (err, socket) => {
    const address = socket.remoteAddress ?? 'unknown';
    refusals.add({ code: RefusalCode.UntrustedCertificate, address, detail: err.message });
  });

  async function close(): Promise<void> {
    const closed = promisify(server.close.bind(server))();
    links.closeAll(CloseReason.Closed);
    server.closeAllConnections();
    sockets.clients.forEach((ws) => ws.close());
    await closed;
  }

  const boundPort = await listen(server, port, host);
  return { port: boundPort, links: links.list, refusals: refusals.counts, close };
}
