/** What the process gets from outside. */
import type { Clock, Logger } from '@kingcupsill/runtime';
import type { Registry } from 'prom-client';
import type { EdgeSettings } from './settings.js';

/** Dependencies of the direct router's process. */
export interface EdgeContext {
  /** Returns the settings in force, which a reload replaces. */
  settings: () => EdgeSettings;
  logger: Logger;
  /** Returns the number of log lines dropped because their reader was too slow. */
  droppedLines: () => number;
  registry: Registry;
  clock: Clock;
  /** Returns a random number in [0, 1). */
  random: () => number;
  /** Aborted when the process has been asked to end. @default never */
  stopping?: AbortSignal;
  /** Random id of this process run. */
  incarnation: string;
}
