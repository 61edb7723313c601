/** Division of the process's file descriptors, so that callers and backend servers leave some for the store, peers and readiness. */
import { readFileSync } from 'node:fs';
import type { Logger } from '@kingcupsill/runtime';
import type { EdgeContext } from './context.js';

/** Maximum numbers of connections. */
export interface ConnectionLimits {
  /** Connections of callers that are served. */
  callers: number;
  /** Further connections of callers, which get a refusal. */
  refusedCallers: number;
  /** Connections to backend servers. */
  servers: number;
  /** Links that other routers open. */
  links: number;
  /** Connections of readiness checks, of operators, and of routers before their links are open: a number for each. */
  side: number;
}

/** Descriptors for files, listeners, the store, peers, readiness and metrics: a number and a fraction, at most half of all. */
const OWN_DESCRIPTORS = 48;
const OWN_FRACTION = 0.1;
/** Connections of callers that are refused at the same time: a fraction of the rest; at least a number, unless that is over a quarter. */
const REFUSED_FRACTION = 1 / 8;
const MIN_REFUSED = 16;

/** More connections than this are no use to readiness checks or operators. */
const MAX_SIDE = 64;

/** Divides `maxFds` descriptors. Each request may need a connection to a server besides its caller's. */
export function divideDescriptors(maxFds: number): ConnectionLimits {
  const own = Math.min(maxFds / 2, OWN_DESCRIPTORS + maxFds * OWN_FRACTION);
  const rest = maxFds - own;
  const refused = Math.max(rest * REFUSED_FRACTION, Math.min(MIN_REFUSED, rest / 4));
  const served = Math.floor((rest - refused) / 2);
  return {
    callers: served,
    refusedCallers: Math.floor(refused),
    servers: served,
    links: Math.floor(own / 2),
    side: Math.min(MAX_SIDE, Math.floor(own / 8)),
  };
}

const PROCESS_LIMITS_FILE = '/proc/self/limits';

/** Limit that is assumed if there is none, or if it can't be read. */
const ASSUMED_LIMIT = 1024;

/** Returns the process's own limit of descriptors. */
function readDescriptorLimit(logger: Logger): number {
  try {
    // eslint-disable-next-line n/no-sync -- read once, at the start
    const limits = readFileSync(PROCESS_LIMITS_FILE, 'utf8');
    const match = /^Max open files\s+(\d+|unlimited)/m.exec(limits);
    if (match !== null && match[1] !== 'unlimited') return Number(match[1]);
    if (match === null) logger.warn('descriptor-limit-unknown', { reason: 'no such line' });
  } catch (err) {
    logger.warn('descriptor-limit-unknown', { reason: (err as Error).message });
  }
  return ASSUMED_LIMIT;
}

/**
 * Returns the limits of a process; logs them with what they are derived from. What the platform states takes precedence, since it may
 * count sockets apart from files, which are what the process's own limit is about then.
 */
export function createConnectionLimits({ settings, logger }: EdgeContext): ConnectionLimits {
  const maxFds = settings().process.maxFds ?? readDescriptorLimit(logger);
  const limits = divideDescriptors(maxFds);
  logger.info('connection-limits', { ...limits, maxFds });
  return limits;
}
