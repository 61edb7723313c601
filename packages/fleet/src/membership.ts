/** Keeps links to routers of the platform's instance list, which lags behind reality. */
import type { LinkDialer } from '@kingcupsill/link';
import type { Instance, InstanceClient } from '@kingcupsill/platform';
import type { Logger } from '@kingcupsill/runtime';

import { repeatTask } from './repeat.js';

/** What membership needs. */
export interface MembershipOptions {
  instances: InstanceClient;
  dialer: LinkDialer;
  /** Chooses which live routers to keep links to. */
  choose(routers: Instance[]): Instance[];
  /** Called after each look with the live routers. @default nothing */
  onRouters?(routers: Instance[]): void;
  logger: Logger;
  /** Time between looks at the list, in milliseconds. @default 1000 */
  periodMs?: number;
}

/** Running membership. */
export interface Membership {
  close(): void;
}

const DEFAULT_PERIOD_MS = 1000;

/** Starts to follow the instance list. A list that can't be had changes nothing. */
export function createMembership(options: MembershipOptions): Membership {
  const { instances, dialer, choose, onRouters, logger, periodMs = DEFAULT_PERIOD_MS } = options;

  function follow(routers: Instance[]): void {
    const wanted = new Set(choose(routers).map(({ address }) => address));
    dialer
      .addresses()
      .filter((address) => !wanted.has(address))
      .forEach((address) => dialer.hangUp(address));
    wanted.forEach((address) => {
      const outcome = dialer.dial(address);
      if (!outcome.ok) logger.warn('dial-refused', { address, reason: outcome.message });
    });
    onRouters?.(routers);
  }

  const looking = repeatTask(async () => {
    const outcome = await instances.list();
    if (!outcome.ok) return;
    follow(outcome.instances.filter(({ role, state }) => role === 'router' && state === 'live'));
  }, periodMs);

  return { close: looking.close };
}
