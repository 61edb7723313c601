/** Public types of links. */
import type { HelloMessage, LinkMessage } from '@kingcupsill/core';

/** Reasons for a failed handshake. */
export const RefusalCode = {
  /** The proof doesn't match: the peer uses another fleet key or replays a recorded handshake. */
  WrongKey: 'wrong-key',
  /** The peer uses another protocol version. */
  UnknownProtocol: 'unknown-protocol',
  /** A handshake header or frame is malformed or missing. */
  MalformedHello: 'malformed-hello',
  /** The peer's handshake frame didn't arrive in time. */
  HandshakeTimeout: 'handshake-timeout',
  /** The connection failed or closed before the handshake was complete. */
  ConnectionLost: 'connection-lost',
  /** The TLS handshake failed, usually because the fleet's certificate authority didn't sign the peer's certificate. */
  UntrustedCertificate: 'untrusted-certificate',
} as const;
export type RefusalCode = (typeof RefusalCode)[keyof typeof RefusalCode];

/** Close reasons that links set themselves. `Link.close` accepts any text. */
export const CloseReason = {
  /** The peer's process ended or the connection was lost. */
  PeerGone: 'peer-gone',
  /** No traffic arrived from the peer within the heartbeat timeout. */
  HeartbeatTimeout: 'heartbeat-timeout',
  /** A received frame can't be decoded or doesn't match the schema. */
  MalformedMessage: 'malformed-message',
  /** A message exceeds `maxMessageBytes`. */
  OversizeMessage: 'oversize-message',
  /** Unsent data exceeds `maxBufferedBytes`, since the peer doesn't read. */
  PeerNotReading: 'peer-not-reading',
  /** The local server or dialer was closed. */
  Closed: 'closed',
  /** `disconnect` was called for the address. */
  Disconnected: 'hung-up',
} as const;
export type CloseReason = (typeof CloseReason)[keyof typeof CloseReason];

/** Traffic of links: messages, heartbeats and their WebSocket headers, without the handshake, TCP and TLS. */
export interface LinkCounters {
  bytesSent: number;
  bytesReceived: number;
  messagesSent: number;
  messagesReceived: number;
}

/** An open link to an authenticated peer. */
export interface Link {
  /** Unique per connection. */
  id: string;
  /** Hello message of the peer, received in the handshake. */
  peer: HelloMessage;
  /** Address that this process dialed; undefined on links that the peer dialed. */
  dialedAddress: string | undefined;
  /** Queues a message. Messages queued in one tick are sent as one frame. No-op on a closed link. */
  send(message: LinkMessage): void;
  /** Sends all queued messages, then closes the link. Calls `onClose` synchronously. */
  close(reason: string): void;
  /** Smoothed round-trip time in milliseconds. */
  rttMs(): number;
  counters(): LinkCounters;
}

/** A failed handshake. */
export interface Refusal {
  code: RefusalCode;
  /** Remote address of an incoming connection, or the address that was dialed. */
  address: string;
  /** Description of the error. */
  detail: string;
}

/** Callbacks for the events of links. */
export interface LinkHandlers {
  onOpen(link: Link): void;
  onMessage(link: Link, message: LinkMessage): void;
  /** Called once for each link that was opened. */
  onClose(link: Link, reason: string): void;
  onRefused?(refusal: Refusal): void;
}

/** Logger methods that links use. */
export interface LinkLogger {
  debug(event: string, fields?: Record<string, unknown>): void;
  info(event: string, fields?: Record<string, unknown>): void;
  warn(event: string, fields?: Record<string, unknown>): void;
}

/** PEM texts for mutual TLS. Both sides must present a certificate signed by `ca`. */
export interface LinkTls {
  key: string;
  cert: string;
  ca: string;
}

/** Options common to servers and dialers. */
export interface LinkOptions {
  /** Key shared by all processes of the fleet. */
  fleetKey: string;
  /** Previous key, which is accepted too during a key rotation. @default none */
  fleetKeyPrevious?: string;
  /** Mutual TLS, in addition to the fleet key. @default none */
  tls?: LinkTls;
  /** Permits links without TLS to and from other machines. @default false */
  allowPlainTcp?: boolean;
  /** Creates the hello message of this process; called for each handshake. */
  hello: () => HelloMessage;
  handlers: LinkHandlers;
  /** Maximum size of a frame in bytes, sent or received. @default 4194304 */
  maxMessageBytes?: number;
  /** Maximum number of unsent bytes per link; a link above it is closed. @default 16777216 */
  maxBufferedBytes?: number;
  /** Time between heartbeat checks, in milliseconds. @default 2000 */
  heartbeatIntervalMs?: number;
  /** Time without received traffic after which a link is closed, in milliseconds. @default 6000 */
  heartbeatTimeoutMs?: number;
  /** Maximum time for the connection, and again for the peer's handshake frame, in milliseconds. @default 5000 */
  handshakeTimeoutMs?: number;
  logger: LinkLogger;
  /** Monotonic clock in milliseconds. @default performance.now */
  clock?: () => number;
}

/** Options of a link server. */
export interface LinkServerOptions extends LinkOptions {
  /** Address to listen on. @default '127.0.0.1' */
  host?: string;
  /** Port to listen on; 0 selects a free port. @default 0 */
  port?: number;
}

/** A server that accepts links. */
export interface LinkServer {
  port: number;
  /** Open links. */
  links(): Link[];
  /** Traffic of all links, those that have closed included. */
  counters(): LinkCounters;
  /** Handshakes that failed, by code. */
  refusals(): Partial<Record<RefusalCode, number>>;
  /** Closes all links and stops listening. */
  close(): Promise<void>;
}

/** Limits of the exponential backoff between connection attempts, before jitter. */
export interface BackoffOptions {
  /** Delay after the first failure, in milliseconds. @default 100 */
  minMs?: number;
  /** Maximum delay, in milliseconds. @default 5000 */
  maxMs?: number;
}

/** Options of a link dialer. */
export interface LinkDialerOptions extends LinkOptions {
  /** Returns a random number in [0, 1) for backoff jitter. */
  random: () => number;
  backoff?: BackoffOptions;
}

/** Result of `LinkDialer.dial`. */
export type DialResult =
  { ok: true } | { ok: false; code: 'bad-address' | 'plain-tcp-not-allowed'; message: string };

/** Maintains links to a set of addresses. */
export interface LinkDialer {
  /** Maintains a link to `host:port`, with reconnects, until `disconnect`. No-op for an address that is already dialed. */
  dial(address: string): DialResult;
  /** Closes the link to the address and stops reconnecting. */
  disconnect(address: string): void;
  /** Dialled addresses, whether or not their links are open. */
  addresses(): string[];
  /** Open links. */
  links(): Link[];
  /** Traffic of all links, those that have closed included. */
  counters(): LinkCounters;
  /** Handshakes that failed, by code. */
  refusals(): Partial<Record<RefusalCode, number>>;
  close(): Promise<void>;
}
