/** Components of the direct router's process. */
import type { DirectEvent, DirectState, StoreNews } from '@kingcupsill/core/direct';
import type { StoreClient } from '@kingcupsill/prepared-platform';
import type { Loop } from '@kingcupsill/runtime';
import type { AcceptQueue } from './callers/accept-queue.js';
import type { BodyBudget } from './callers/body-budget.js';
import type { CallerServer } from './callers/caller-server.js';
import type { RequestHandlers } from './callers/request-handler.js';
import type { RequestValidator } from './callers/request-validator.js';
import type { Closable } from './closable.js';
import type { ConnectionLimits } from './descriptors.js';
import type { Exchanges } from './exchanges.js';
import type { LoopLag } from './loop-lag.js';
import type { MemoryDivision } from './memory-division.js';
import type { RequestErrors } from './request-errors.js';
import type { EdgeMetrics } from './metrics.js';
import type { PeerLinks } from './peers/peer-links.js';
import type { Reporting } from './peers/reporting.js';
import type { ServerConnections } from './relay/server-connections.js';
import type { FollowedNews } from './store/followed-news.js';
import type { RouterRegistration } from './store/router-registration.js';
import type { StoreEra } from './store/store-era.js';
import type { StoreTransport } from './store/store-transport.js';
import type { StreamStore } from './store/stream-store.js';

/** Lifecycle phase of the process. */
export interface Phase {
  /** Callers can connect. */
  accepting: boolean;
  draining: boolean;
}

/** Components of the process, created by `composeProcess`. */
export interface EdgeParts {
  state: DirectState;
  phase: Phase;
  loop: Loop<DirectState, DirectEvent>;
  exchanges: Exchanges;
  requestErrors: RequestErrors;
  connectionLimits: ConnectionLimits;
  memoryDivision: MemoryDivision;
  connections: ServerConnections;
  metrics: EdgeMetrics;
  transport: StoreTransport;
  store: StoreClient;
  storeEra: StoreEra;
  streamStore: StreamStore;
  storeNews: StoreNews;
  followedNews: FollowedNews;
  acceptQueue: AcceptQueue;
  loopLag: LoopLag;
  validator: RequestValidator;
  requestHandlers: RequestHandlers;
  bodyBudget: BodyBudget;
  peers: Promise<PeerLinks>;
  feeds: Promise<Closable>;
  registration: RouterRegistration;
  callers: Promise<CallerServer>;
  readiness: Promise<Closable>;
  admin: Promise<Closable>;
  tickTimer: Closable;
  summaryTimer: Closable;
  reporting: Reporting;
}
