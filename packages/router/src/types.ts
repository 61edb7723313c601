/** Types of the router process's composition. */
import type { RouterProcessEvent, RouterProcessState } from '@kingcupsill/core';
import type { Deferred, HttpListener, PeriodicTask, SharedParts } from '@kingcupsill/fleet';
import type { LinkDialer, LinkServer } from '@kingcupsill/link';
import type { AdminServer, BinaryContext, Loop } from '@kingcupsill/runtime';

import type { PendingRequest } from './callers/types.js';
import type { ClaimEffectRunner } from './claims/claim-effect-runner.js';
import type { ConfigIndex } from './config-index/types.js';
import type { RouterMetrics } from './metrics.js';
import type { Relay } from './relay/types.js';
import type { routerSchema } from './settings.js';

/** Context in which the binary starts the router. */
export type RouterContext = BinaryContext<typeof routerSchema>;

/** Mutable reference to the index of the current configuration. */
export interface CurrentConfigIndex {
  current: ConfigIndex;
}

/** Parts of the process, each of which is created on first use. */
export interface RouterParts extends Omit<SharedParts, 'loop'> {
  /** Callers' requests in progress, by request id. */
  pendingRequests: Map<string, PendingRequest>;
  configIndex: CurrentConfigIndex;
  /** Resolves when the reducer has finished the shutdown. */
  stopped: Deferred;
  relay: Relay;
  /** Object service calls for claims of idempotency keys. */
  claimEffects: ClaimEffectRunner;
  loop: Loop<RouterProcessState, RouterProcessEvent>;
  metrics: RouterMetrics;
  linkServer: Promise<LinkServer>;
  dialer: LinkDialer;
  callerServer: Promise<HttpListener>;
  /** Dispatches ticks to the event loop. */
  ticker: PeriodicTask;
  adminServer: Promise<AdminServer>;
}
