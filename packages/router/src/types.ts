/** Parts of the router process. */
import type { RouterProcessEvent, RouterProcessState } from '@kingcupsill/core';
import type { HttpListener, PeriodicTask, SharedParts, Deferred } from '@kingcupsill/fleet';
import type { LinkDialer, LinkServer } from '@kingcupsill/link';
import type { AdminServer, BinaryContext, Loop } from '@kingcupsill/runtime';

import type { PendingRequest } from './callers/types.js';
import type { ClaimEffectRunner } from './claims/claim-effect-runner.js';
import type { ConfigIndex } from './config-index/types.js';
import type { RouterMetrics } from './metrics.js';
import type { Relay } from './relay/types.js';
import type { routerSchema } from './settings.js';

/** What the binary's frame gives. */
export type RouterContext = BinaryContext<typeof routerSchema>;

/** Holds what changes with the configuration. */
export interface CurrentConfigIndex {
  current: ConfigIndex;
}

/** Parts by name; each is made on first use. */
export interface RouterParts extends Omit<SharedParts, 'loop'> {
  /** Callers' requests by id. */
  pendingRequests: Map<string, PendingRequest>;
  configIndex: CurrentConfigIndex;
  stopped: Deferred;
  relay: Relay;
  /** Calls to the object service for claims of idempotency keys. */
  claimEffects: ClaimEffectRunner;
  loop: Loop<RouterProcessState, RouterProcessEvent>;
  metrics: RouterMetrics;
  linkServer: Promise<LinkServer>;
  dialer: LinkDialer;
  callerServer: Promise<HttpListener>;
  ticker: PeriodicTask;
  adminServer: Promise<AdminServer>;
}
