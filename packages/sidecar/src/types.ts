/** Parts of the sidecar process. */
import type { SidecarProcessEvent, SidecarProcessState } from '@kingcupsill/core';
import type { HttpListener, PeriodicTask, SharedParts, Deferred } from '@kingcupsill/fleet';
import type { LinkDialer } from '@kingcupsill/link';
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
export interface SidecarParts extends Omit<SharedParts, 'loop'> {
  ports: SidecarPorts;
  stopped: Deferred;
  attempts: AttemptRegistry;
  backend: BackendClient;
  loop: Loop<SidecarProcessState, SidecarProcessEvent>;
  dialer: LinkDialer;
  dataServer: Promise<HttpListener>;
  ticker: PeriodicTask;
  backendSync: PeriodicTask;
  adminServer: Promise<AdminServer>;
}
