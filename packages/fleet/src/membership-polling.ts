/** Discovery of live routers from the platform's instance list, which lags behind the actual state. */
import type { ListedRouter } from '@kingcupsill/core';
import type { InstanceClient } from '@kingcupsill/platform';

import { startPeriodicTask } from './periodic-task.js';
import type { PeriodicTask } from './periodic-task.js';

/** Dependencies and options of membership polling. */
export interface MembershipPollingOptions {
  instances: InstanceClient;
  /** Called with the live routers after each successful poll. */
  onRouters(routers: ListedRouter[]): void;
  /** Delay between two polls, in milliseconds. @default 1000 */
  periodMs?: number;
}

const DEFAULT_PERIOD_MS = 1000;

/** Starts polling the instance list. A failed poll is skipped, and the last known routers stay. */
export function startMembershipPolling(options: MembershipPollingOptions): PeriodicTask {
  const { instances, onRouters, periodMs = DEFAULT_PERIOD_MS } = options;
  return startPeriodicTask(async () => {
    const outcome = await instances.list();
    if (!outcome.ok) return;
    onRouters(outcome.instances.filter(({ role, state }) => role === 'router' && state === 'live'));
  }, periodMs);
}
