/** Follows the live routers of the platform's instance list, which lags behind reality. */
import type { ListedRouter } from '@kingcupsill/core';
import type { InstanceClient } from '@kingcupsill/platform';

import { startPeriodicTask } from './periodic-task.js';
import type { PeriodicTask } from './periodic-task.js';

/** What membership needs. */
export interface MembershipPollingOptions {
  instances: InstanceClient;
  /** Called after each look with the live routers. */
  onRouters(routers: ListedRouter[]): void;
  /** Time between looks at the list, in milliseconds. @default 1000 */
  periodMs?: number;
}

const DEFAULT_PERIOD_MS = 1000;

/** Starts to follow the list. A list that can't be had changes nothing. */
export function startMembershipPolling(options: MembershipPollingOptions): PeriodicTask {
  const { instances, onRouters, periodMs = DEFAULT_PERIOD_MS } = options;
  return startPeriodicTask(async () => {
    const outcome = await instances.list();
    if (!outcome.ok) return;
    onRouters(outcome.instances.filter(({ role, state }) => role === 'router' && state === 'live'));
  }, periodMs);
}
