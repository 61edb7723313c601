/** Types of the sidecar process's composition. */
import type { SidecarProcessEvent, SidecarProcessState } from '@kingcupsill/core';
import type { Deferred, HttpListener, PeriodicTask, SharedParts } from '@kingcupsill/fleet';
import type { LinkDialer } from '@kingcupsill/link';
import type { AdminServer, BinaryContext, Loop } from '@kingcupsill/runtime';

import type { AttemptRegistry } from './attempts/types.js';
import type { BackendClient } from './backend/types.js';
import type { sidecarSchema } from './settings.js';

/** Context in which the binary starts the sidecar. */
export type SidecarContext = BinaryContext<typeof sidecarSchema>;

/** Ports on which the process listens, 0 until it does. */
export interface SidecarPorts {
  data: number;
}

/** Parts of the process, each of which is created on first use. */
export interface SidecarParts extends Omit<SharedParts, 'loop'> {
  ports: SidecarPorts;
  /** Resolves when the reducer has finished the shutdown. */
  stopped: Deferred;
  attempts: AttemptRegistry;
  backend: BackendClient;
  loop: Loop<SidecarProcessState, SidecarProcessEvent>;
  dialer: LinkDialer;
  dataServer: Promise<HttpListener>;
  /** Dispatches ticks and round-trip times to the event loop. */
  ticker: PeriodicTask;
  /** Retries the synchronization with the backend server until it succeeds. */
  backendSynchronizer: PeriodicTask;
  adminServer: Promise<AdminServer>;
}
