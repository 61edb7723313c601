/** Parts of the sidecar process. */
import type { SidecarEvent, SidecarState } from '@kingcupsill/core';
import type {
  ConfigFollower,
  HttpListener,
  LinkTraffic,
  Membership,
  Repetition,
  Signal,
} from '@kingcupsill/fleet';
import type { Link, LinkDialer } from '@kingcupsill/link';
import type { AdminServer, BinaryContext, Loop } from '@kingcupsill/runtime';

import type { AttemptRegistry } from './attempts/types.js';
import type { BackendClient } from './backend/types.js';
import type { sidecarSchema } from './settings.js';

/** What the binary's frame gives. */
export type SidecarContext = BinaryContext<typeof sidecarSchema>;

/** Ports that the process listens on. */
export interface SidecarPorts {
  data: number;
}

/** Parts by name; each is made on first use. */
export interface SidecarParts {
  /** Open links by id. */
  links: Map<string, Link>;
  ports: SidecarPorts;
  stopped: Signal;
  attempts: AttemptRegistry;
  backend: BackendClient;
  loop: Loop<SidecarState, SidecarEvent>;
  dataServer: Promise<HttpListener>;
  dialer: LinkDialer;
  traffic: LinkTraffic;
  follower: ConfigFollower;
  membership: Membership;
  ticking: Repetition;
  syncing: Repetition;
  adminServer: Promise<AdminServer>;
}
