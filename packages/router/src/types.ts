/** Parts of the router process. */
import type { RouterEvent, RouterState } from '@kingcupsill/core';
import type {
  ConfigFollower,
  HttpListener,
  LinkTraffic,
  Repetition,
  Signal,
} from '@kingcupsill/fleet';
import type { Link, LinkServer } from '@kingcupsill/link';
import type { AdminServer, BinaryContext, Loop } from '@kingcupsill/runtime';

import type { HeldRequest } from './callers/types.js';
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
export interface RouterParts {
  /** Open links by id. */
  links: Map<string, Link>;
  /** Callers' requests by id. */
  heldRequests: Map<string, HeldRequest>;
  directory: CurrentDirectory;
  stopped: Signal;
  relay: Relay;
  loop: Loop<RouterState, RouterEvent>;
  metrics: RouterMetrics;
  callerServer: Promise<HttpListener>;
  linkServer: Promise<LinkServer>;
  follower: ConfigFollower;
  ticking: Repetition;
  adminServer: Promise<AdminServer>;
  traffic: LinkTraffic;
}
