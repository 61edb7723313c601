/** Types of the links between routers. */
import type { RouterInfo } from '@kingcupsill/core/direct';
import type { Clock, Logger } from '@kingcupsill/runtime';

/** Purpose of a link, part of the path with which it is opened. */
export const LinkRole = {
  /** From a member of a group to its hub; reports flow both ways. */
  Member: 'member',
  /** From the hub of one group to that of another; reports flow to the accepting side. */
  Hub: 'hub',
} as const;
export type LinkRole = (typeof LinkRole)[keyof typeof LinkRole];

/** Open link. */
export interface OpenLink {
  /** Unique to this connection; names the other router. */
  key: string;
  /** Returns false if the send buffer is full. */
  send(bytes: Buffer): boolean;
  close(): void;
}

/** Callbacks of links. */
export interface LinkListener {
  onOpen(link: OpenLink): void;
  onMessage(link: OpenLink, bytes: Buffer): void;
  onClosed(link: OpenLink): void;
}

/** Connection that is open or being opened. */
export interface DialedLink {
  /** Terminates the connection if it has timed out and pings it otherwise. */
  checkLiveness(): void;
  /** Returns whether the connection is open and may have gone silent. */
  isQuiet(): boolean;
  close(): void;
}

/** Opens a connection. `onEnded` is called exactly once, also if the connection was never open. */
export type DialLink = (
  ctx: LinkContext,
  target: LinkTarget,
  role: LinkRole,
  listener: LinkListener,
  onEnded: () => void,
) => DialedLink;

/** Dependencies of links. */
export interface LinkContext {
  dial: DialLink;
  clock: Clock;
  logger: Logger;
  /** Name of this router. */
  self: string;
  /** Returns a number that no other link of this router has. */
  nextLinkNumber: () => number;
}

/** Router to dial. */
export type LinkTarget = Pick<RouterInfo, 'name' | 'address'>;

/** Period of pings, and time without traffic after which a link counts as broken. */
export const LIVENESS_CHECK_PERIOD_MS = 350;
export const LINK_TIMEOUT_MS = 2100;
/** Send buffer above which a report waits; it then also covers later changes. */
export const MAX_BUFFERED_BYTES = 64 * 1024;

/** Maximum size of a report, which has a few dozen bytes per backend server and account. */
const MAX_REPORT_BYTES = 1024 * 1024;
/**
 * Limits of a connection, whichever side has opened it. A report is one frame; it may arrive in pieces of a quarter of a kilobyte, each
 * of which takes some hundred bytes of heap until it is complete.
 */
export const SOCKET_OPTIONS = {
  perMessageDeflate: false,
  maxPayload: MAX_REPORT_BYTES,
  maxFragments: 16,
  maxBufferedChunks: MAX_REPORT_BYTES / 256,
};
