/** Configuration store on top of the object service: loads the configuration, commits patches, and watches for new versions. */
import { createConfigCommitter } from './config-committer.js';
import { createConfigReader } from './config-reader.js';
import type { ConfigStore, ConfigStoreOptions } from './config-types.js';
import { createConfigWatcher } from './config-watcher.js';

const DEFAULT_RETRY_DELAY_MS = 200;
const DEFAULT_WRITE_ATTEMPTS = 5;

/** Creates the configuration store. */
export const createConfigStore = (options: ConfigStoreOptions): ConfigStore => {
  const {
    objects,
    now = () => new Date(),
    retryDelayMs = DEFAULT_RETRY_DELAY_MS,
    writeAttempts = DEFAULT_WRITE_ATTEMPTS,
  } = options;
  const reader = createConfigReader(objects);
  return {
    load: reader.load,
    readSince: (version) => reader.readSince(version),
    history: reader.history,
    loadVersion: reader.loadVersion,
    commit: createConfigCommitter({ objects, reader, now, retryDelayMs, writeAttempts }),
    watch: createConfigWatcher(objects, reader),
  };
};
