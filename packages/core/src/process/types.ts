/** Whole processes: the reducers of a router or sidecar process, composed into one. */
import type {
  ConfigEffect,
  ConfigEvent,
  ConfigProcessIdentity,
  ConfigState,
} from '../config/index.js';
import type { ExchangeState } from '../fairness/index.js';
import type { HelloMessage, LinkMessage, ProcessLocation } from '../protocol/index.js';
import type { RouterEffect, RouterEvent, RouterOptions, RouterState } from '../router/index.js';
import type {
  SidecarEffect,
  SidecarEvent,
  SidecarOptions,
  SidecarState,
} from '../sidecar/index.js';

/** A live router of the platform's instance list. */
export interface ListedRouter extends ProcessLocation {
  id: string;
  /** `host:port` of its link listener. */
  address: string;
}

/** Who this process is. */
export interface ProcessDescriptor extends ProcessLocation, Omit<ConfigProcessIdentity, 'role'> {
  incarnation: string;
}

/** Events that both kinds of process have. */
export type CommonProcessEvent =
  | { kind: 'link-opened'; nowMs: number; link: string; hello: HelloMessage }
  | { kind: 'link-closed'; nowMs: number; link: string }
  | { kind: 'message'; nowMs: number; link: string; message: LinkMessage }
  | { kind: 'routers-listed'; nowMs: number; routers: ListedRouter[] }
  | { kind: 'tick'; nowMs: number };

/** Answers of the object service about the configuration. */
export type ConfigStoreEvent = Extract<
  ConfigEvent,
  { kind: 'config-loaded' | 'patches-loaded' | 'store-failed' }
>;

/** Effects that both kinds of process have. */
export type CommonProcessEffect =
  | Exclude<ConfigEffect, { kind: 'send' }>
  | { kind: 'send'; link: string; message: LinkMessage }
  /** Keep links to just these addresses; the rest is hung up. */
  | { kind: 'keep-links'; addresses: string[] };

type FleetKind = CommonProcessEvent['kind'];

/** Events of the router process. */
export type RouterProcessEvent =
  | CommonProcessEvent
  | ConfigStoreEvent
  | Exclude<RouterEvent, { kind: FleetKind | 'sidecar-linked' | 'sidecar-unlinked' }>;

/** Effects of the router process. */
export type RouterProcessEffect = CommonProcessEffect | Exclude<RouterEffect, { kind: 'send' }>;

/** State of the router process. */
export interface RouterProcessState {
  self: ProcessDescriptor;
  router: RouterState;
  config: ConfigState;
  exchange: ExchangeState;
  /** Open link to each linked router, by router id. */
  routerLinks: Map<string, string>;
}

/** Options of the router process. */
export interface RouterProcessOptions {
  self: ProcessDescriptor;
  router?: Partial<RouterOptions>;
  /** Period of the exchange of service totals. @default 500 */
  exchangePeriodMs?: number;
  nowMs: number;
}

/** Events of the sidecar process. */
export type SidecarProcessEvent =
  CommonProcessEvent | ConfigStoreEvent | Exclude<SidecarEvent, { kind: FleetKind | 'configured' }>;

/** Effects of the sidecar process. */
export type SidecarProcessEffect = CommonProcessEffect | Exclude<SidecarEffect, { kind: 'send' }>;

/** State of the sidecar process. */
export interface SidecarProcessState {
  self: ProcessDescriptor;
  sidecar: SidecarState;
  config: ConfigState;
  /** Live routers as last listed. */
  routers: ListedRouter[];
  maxLinks: number;
}

/** Options of the sidecar process. */
export interface SidecarProcessOptions {
  self: ProcessDescriptor;
  sidecar: Partial<SidecarOptions> & Pick<SidecarOptions, 'backend'>;
  /** Routers that it keeps links to. @default 8 */
  maxLinks?: number;
  nowMs: number;
}
