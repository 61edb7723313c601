/** Types of the composed reducers of router and sidecar processes. */
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

/** A live router from the instance list of the platform. */
export interface ListedRouter extends ProcessLocation {
  id: string;
  /** `host:port` of its link listener. */
  address: string;
}

/** Identity and location of this process. */
export interface ProcessDescriptor extends ProcessLocation, Omit<ConfigProcessIdentity, 'role'> {
  incarnation: string;
}

/** Events common to router and sidecar processes. */
export type CommonProcessEvent =
  | { kind: 'link-opened'; nowMs: number; link: string; hello: HelloMessage }
  | { kind: 'link-closed'; nowMs: number; link: string }
  | { kind: 'message'; nowMs: number; link: string; message: LinkMessage }
  | { kind: 'routers-listed'; nowMs: number; routers: ListedRouter[] }
  | { kind: 'tick'; nowMs: number };

/** Results of configuration calls to the object service. */
export type ConfigStoreEvent = Extract<
  ConfigEvent,
  { kind: 'config-loaded' | 'patches-loaded' | 'store-failed' }
>;

/** Effects common to router and sidecar processes. */
export type CommonProcessEffect =
  | Exclude<ConfigEffect, { kind: 'send' }>
  | { kind: 'send'; link: string; message: LinkMessage }
  /** Keeps or opens links to exactly these addresses and closes all other dialed links. */
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
  /** Open link by router id. */
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
  /** Live routers in the most recent list. */
  routers: ListedRouter[];
  maxLinks: number;
}

/** Options of the sidecar process. */
export interface SidecarProcessOptions {
  self: ProcessDescriptor;
  sidecar: Partial<SidecarOptions> & Pick<SidecarOptions, 'backend'>;
  /** Maximum number of routers to keep links to. @default 8 */
  maxLinks?: number;
  nowMs: number;
}
