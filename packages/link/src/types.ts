/** Public types of links. */
import type { Hello, LinkMessage } from '@kingcupsill/core';

/** Why a handshake failed. */
export const RefusalCode = {
  /** The peer has another fleet key, or replayed a handshake. */
  WrongKey: 'wrong-key',
  /** The peer has another protocol version. */
  UnknownProtocol: 'unknown-protocol',
  /** The handshake doesn't have the agreed form. */
  MalformedHello: 'malformed-hello',
  /** The handshake took too long. */
  HandshakeTimeout: 'handshake-timeout',
  /** The connection ended before the handshake did. */
  ConnectionLost: 'connection-lost',
  /** The peer has no certificate that the fleet's authority signed. */
  UntrustedCertificate: 'untrusted-certificate',
} as const;
export type RefusalCode = (typeof RefusalCode)[keyof typeof RefusalCode];

/** Reasons with which links close by themselves. `close` takes any text. */
export const CloseReason = {
  /** The peer's process or the connection went. */
  PeerGone: 'peer-gone',
  /** Nothing was heard from the peer for too long. */
  HeartbeatTimeout: 'heartbeat-timeout',
  /** Bytes that aren't messages of the protocol. */
  MalformedMessage: 'malformed-message',
  /** A message above the limit. */
  OversizeMessage: 'oversize-message',
  /** The peer doesn't read what it is sent. */
  PeerNotReading: 'peer-not-reading',
  /** This side's server or dialer was closed. */
  Closed: 'closed',
  /** The address is no longer dialled. */
  Disconnected: 'hung-up',
} as const;
export type CloseReason = (typeof CloseReason)[keyof typeof CloseReason];

/** Traffic of one link: messages, heartbeats and their WebSocket headers. The handshake, TCP and TLS aren't counted. */
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
  /** What the peer said of itself when the link opened. */
  peer: Hello;
  /** Address that was dialled; undefined where the peer dialled. */
  dialedAddress: string | undefined;
  /** Sends a message. Messages of one tick share a frame. Does nothing on a closed link. */
  send(message: LinkMessage): void;
  /** Closes the link after what was sent. `onClose` is called at once. */
  close(reason: string): void;
  /** Smoothed round-trip time in milliseconds. */
  rttMs(): number;
  counters(): LinkCounters;
}

/** A handshake that failed. */
export interface Refusal {
  code: RefusalCode;
  /** Remote address of the peer, or the address that was dialled. */
  address: string;
  /** What was wrong. */
  detail: string;
}

/** Calls a process receives from its links. */
export interface LinkHandlers {
  onOpen(link: Link): void;
  onMessage(link: Link, message: LinkMessage): void;
  /** Called once per opened link. */
  onClose(link: Link, reason: string): void;
  onRefused?(refusal: Refusal): void;
}

/** The part of a logger that links use. */
export interface LinkLogger {
  debug(event: string, fields?: Record<string, unknown>): void;
  info(event: string, fields?: Record<string, unknown>): void;
  warn(event: string, fields?: Record<string, unknown>): void;
}

/** PEM texts for mutual TLS. Both sides show a certificate that `ca` signed. */
export interface LinkTls {
  key: string;
  cert: string;
  ca: string;
}

/** Options that server and dialer share. */
export interface LinkOptions {
  /** Key shared by all processes of the fleet. */
  fleetKey: string;
  /** Second key that is accepted, during a rotation. @default none */
  fleetKeyPrevious?: string;
  /** Mutual TLS, in addition to the fleet key. @default none */
  tls?: LinkTls;
  /** Permits links without TLS to and from other machines. @default false */
  allowPlainTcp?: boolean;
  /** What this process says of itself; called for each link. */
  hello: () => Hello;
  handlers: LinkHandlers;
  /** Largest frame in bytes, both ways. @default 4194304 */
  maxMessageBytes?: number;
  /** Unsent bytes beyond which a peer counts as not reading. @default 16777216 */
  maxBufferedBytes?: number;
  /** Time between pings. @default 2000 */
  heartbeatIntervalMs?: number;
  /** Time without any traffic after which the peer counts as gone. @default 6000 */
  heartbeatTimeoutMs?: number;
  /** Longest time for connection and handshake. @default 5000 */
  handshakeTimeoutMs?: number;
  logger: LinkLogger;
  /** Monotonic clock in milliseconds. @default performance.now */
  clock?: () => number;
}

/** Options of a server. */
export interface LinkServerOptions extends LinkOptions {
  /** Address to listen on. @default '127.0.0.1' */
  host?: string;
  /** Port to listen on; 0 takes a free one. @default 0 */
  port?: number;
}

/** A listening server. */
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

/** Bounds of the time between attempts to connect; the time doubles between them and is jittered downwards by up to half. */
export interface BackoffOptions {
  /** @default 100 */
  minMs?: number;
  /** @default 5000 */
  maxMs?: number;
}

/** Options of a dialer. */
export interface LinkDialerOptions extends LinkOptions {
  /** Random number from 0 up to, not including, 1, for jitter. */
  random: () => number;
  backoff?: BackoffOptions;
}

/** Outcome of asking for a link. */
export type DialResult =
  { ok: true } | { ok: false; code: 'bad-address' | 'plain-tcp-not-allowed'; message: string };

/** Keeps links to a set of addresses. */
export interface LinkDialer {
  /** Keeps a link to `host:port`, with reconnects, until `hangUp`. Does nothing for an address it keeps already. */
  dial(address: string): DialResult;
  disconnect(address: string): void;
  /** Addresses that are dialled, linked or not. */
  addresses(): string[];
  /** Open links. */
  links(): Link[];
  /** Traffic of all links, those that have closed included. */
  counters(): LinkCounters;
  /** Handshakes that failed, by code. */
  refusals(): Partial<Record<RefusalCode, number>>;
  close(): Promise<void>;
}
