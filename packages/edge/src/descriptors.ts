/** Division of the process's file descriptors, so that callers and backend servers leave some for the store, peers and readiness. */
import { readFileSync } from 'node:fs';
import type { Logger } from '@kingcupsill/runtime';

/** Maximum numbers of connections. */
export interface ConnectionLimits {
  /** Connections of callers that are served. */
  callers: number;
  /** Further connections of callers, which get a refusal. */
  refusedCallers: number;
  /** Connections to backend servers. */
  servers: number;
}

/** Descriptors for files, listeners, the store, peers, readiness and metrics: a number and a fraction, at most half of all. */
const OWN_DESCRIPTORS = 48;
const OWN_FRACTION = 0.1;
/** Connections of callers that are refused at the same time: a fraction of the rest, and a number as far as that is no quarter. */
const REFUSED_FRACTION = 1 / 8;
const MIN_REFUSED = 16;

/** Divides `maxFds` descriptors. Each request may need a connection to a server besides its caller's. */
export function divideDescriptors(maxFds: number): ConnectionLimits {
  const own = Math.min(maxFds / 2, OWN_DESCRIPTORS + maxFds * OWN_FRACTION);
  const rest = maxFds - own;
  const refused = Math.max(rest * REFUSED_FRACTION, Math.min(MIN_REFUSED, rest / 4));
  const served = Math.floor((rest - refused) / 2);
  return { callers: served, refusedCallers: Math.floor(refused), servers: served };
}

const PROCESS_LIMITS_FILE = '/proc/self/limits';

/** Returns the process's own limit of descriptors; infinite, with a log line, if it can't be read. */
export function readDescriptorLimit(logger: Logger, file: string = PROCESS_LIMITS_FILE): number {
  try {
    // eslint-disable-next-line n/no-sync -- read once, at the start
    const match = /^Max open files\s+(\d+|unlimited)/m.exec(readFileSync(file, 'utf8'));
    if (match !== null && match[1] !== 'unlimited') return Number(match[1]);
    if (match === null) logger.warn('descriptor-limit-unknown', { reason: 'no such line' });
  } catch (err) {
    logger.warn('descriptor-limit-unknown', { reason: (err as Error).message });
  }
  return Number.POSITIVE_INFINITY;
}
