/** Parts of the router process. */
import type { RouterProcessEvent, RouterProcessState } from '@kingcupsill/core';
import type { HttpListener, PeriodicTask, SharedParts, Deferred } from '@kingcupsill/fleet';
import type { LinkDialer, LinkServer } from '@kingcupsill/link';
import type { AdminServer, BinaryContext, Loop } from '@kingcupsill/runtime';

import type { HeldRequest } from './callers/types.js';
import type { Claims } from './claims/claims.js';
import type { Directory } from './directory/types.js';
import type { RouterMetrics } from './metrics.js';
import type { Relay } from './relay/types.js';
import type { routerSchema } from './settings.js';

/** What the binary's frame gives. */
export type RouterContext = BinaryContext<typeof routerSchema>;

/** Holds what changes with the configuration. */
export interface CurrentDirectory {
  now: Directory;
}

/** Parts by name; each is made on first use. */
export interface RouterParts extends Omit<SharedParts, 'loop'> {
  /** Callers' requests by id. */
  heldRequests: Map<string, HeldRequest>;
  directory: CurrentDirectory;
  stopped: Deferred;
  relay: Relay;
  /** Calls to the object service for claims of idempotency keys. */
  claims: Claims;
  loop: Loop<RouterProcessState, RouterProcessEvent>;
  metrics: RouterMetrics;
  linkServer: Promise<LinkServer>;
  dialer: LinkDialer;
  callerServer: Promise<HttpListener>;
  ticking: PeriodicTask;
  adminServer: Promise<AdminServer>;
}
