/**
 * Selection of the servers that are considered for a request. In a small service these are all; in a large one a bounded number, so
 * that the cost of a request doesn't grow with the service: the home servers of its prompt and a sample, mostly of near servers.
 */
import { groupBy } from '../../collections/index.js';
import { createHashRing, rendezvousPick } from '../../hash/index.js';
import type { Hasher } from '../../hash/index.js';
import type { RegisteredServer } from './server-index.js';

/** Servers of one service, arranged for selection. */
export interface CandidatePool {
  /**
   * Returns the servers to consider.
   * @param partId last part of the prompt that other prompts share; undefined without one
   * @param draw random number in [0, 1) that varies the sample
   */
  select(partId: string | undefined, draw: number): readonly RegisteredServer[];
  /** Returns the key of the server that all routers prefer for a part. */
  findHome(partId: string, servers: readonly RegisteredServer[]): string | undefined;
}

/** Distance classes of servers, from the nearest. */
export interface PoolOptions {
  hasher: Hasher;
  /** Returns the additional round trip time to a server in a zone. */
  distanceMs: (zone: string) => number;
}

/** Services up to this size are considered whole. */
const MAX_CANDIDATES = 64;
/** Home servers of a prompt that are considered. */
const HOME_CANDIDATES = 8;
/** Servers sampled in each distance class, from the nearest; farther ones matter only when the near ones are loaded. */
const SAMPLES_BY_DISTANCE = [32, 12, 12];

/** Returns the number of samples in a distance class; the farthest class gets those of missing classes. */
function samplesAt(distance: number, classes: number): number {
  const isFarthest = distance === classes - 1;
  const counts = SAMPLES_BY_DISTANCE.slice(distance, isFarthest ? undefined : distance + 1);
  return counts.reduce((sum, count) => sum + count, 0);
}

/** Returns up to `count` entries at even distances from a random start. */
function sampleEvenly<T>(entries: readonly T[], count: number, draw: number): T[] {
  if (entries.length <= count) return [...entries];
  const start = Math.floor(draw * entries.length);
  return Array.from(
    { length: count },
    (_none, index) =>
      entries[(start + Math.floor((index * entries.length) / count)) % entries.length]!,
  );
}

function groupByDistance(
  servers: readonly RegisteredServer[],
  distanceMs: PoolOptions['distanceMs'],
): RegisteredServer[][] {
  const groups = groupBy(servers, ({ entry }) => distanceMs(entry.zone));
  return [...groups].sort(([a], [b]) => a - b).map(([, group]) => group);
}

/** Creates the pool of a small service, all of whose servers are considered. */
function createWholePool(
  servers: readonly RegisteredServer[],
  { hasher }: PoolOptions,
): CandidatePool {
  return {
    select: () => servers,
    findHome(partId, available) {
      const keys = available.map(({ key }) => key);
      return rendezvousPick(hasher, partId, keys);
    },
  };
}

function createSampledPool(
  servers: readonly RegisteredServer[],
  { hasher, distanceMs }: PoolOptions,
): CandidatePool {
  const ring = createHashRing(hasher, servers, ({ key }) => key);
  const groups = groupByDistance(servers, distanceMs);
  return {
    select(partId, draw) {
      const homes = partId === undefined ? [] : ring.pick(partId, HOME_CANDIDATES);
      const samples = groups.flatMap((group, distance) =>
        sampleEvenly(group, samplesAt(distance, groups.length), draw),
      );
      return [...new Set([...homes, ...samples])];
    },
    findHome(partId, available) {
      const considered = new Set(available);
      return ring.pick(partId, HOME_CANDIDATES).find((server) => considered.has(server))?.key;
    },
  };
}

/** Creates the pool of a service's servers. */
export function createCandidatePool(
  servers: readonly RegisteredServer[],
  options: PoolOptions,
): CandidatePool {
  return servers.length <= MAX_CANDIDATES
    ? createWholePool(servers, options)
    : createSampledPool(servers, options);
}
