/** Follows the configuration in the object service. */
import type { FleetConfig } from '@kingcupsill/core';
import { EMPTY_CONFIG } from '@kingcupsill/core';
import type { ConfigStore } from '@kingcupsill/platform';
import type { Logger } from '@kingcupsill/runtime';

import { repeatTask } from './repeat.js';

/** What the follower needs. */
export interface ConfigFollowerOptions {
  store: ConfigStore;
  logger: Logger;
  /** Called with each newer configuration. */
  onConfig(config: FleetConfig): void;
  /** Time between looks at the service, in milliseconds. @default 500 */
  periodMs?: number;
}

/** A running follower. */
export interface ConfigFollower {
  config(): FleetConfig;
  close(): void;
}

const DEFAULT_PERIOD_MS = 500;

/** Starts to follow. The configuration never goes back to an earlier version. */
export function createConfigFollower(options: ConfigFollowerOptions): ConfigFollower {
  const { store, logger, onConfig, periodMs = DEFAULT_PERIOD_MS } = options;
  let config: FleetConfig = EMPTY_CONFIG;

  const looking = repeatTask(async () => {
    const outcome = await store.load();
    if (!outcome.ok || outcome.config.version <= config.version) return;
    config = outcome.config;
    logger.info('config-in-force', { version: config.version });
    onConfig(config);
  }, periodMs);

  return { config: () => config, close: looking.close };
}
