/** Assigns account buckets to home routers by rendezvous hashing in each availability zone. */
import { groupBy } from '../collections/index.js';
import { rendezvousWeight } from '../hash/index.js';
import type { ExchangeOptions, ExchangeRouter, ExchangeTopology } from './exchange-types.js';

/** Maximum number of other zones' homes that receive all updates of a bucket, and that forward former homes' cells to a new peer. */
const MAX_BACKUP_HOMES = 2;

function computeWeights(options: ExchangeOptions, id: string): Uint32Array {
  const { buckets, hasher } = options;
  return Uint32Array.from({ length: buckets }, (_, bucket) =>
    rendezvousWeight(hasher, String(bucket), id),
  );
}

interface TopTwo {
  first: string | undefined;
  second: string | undefined;
}

/** Returns the two routers with the highest weights for a bucket. `ids` must be sorted, so that the lower id wins ties. */
function findTopTwo(ids: string[], weights: Map<string, Uint32Array>, bucket: number): TopTwo {
  const top: TopTwo = { first: undefined, second: undefined };
  let firstWeight = -1;
  let secondWeight = -1;
  ids.forEach((id) => {
    const weight = weights.get(id)?.[bucket] ?? 0;
    if (weight > firstWeight) {
      top.second = top.first;
      secondWeight = firstWeight;
      top.first = id;
      firstWeight = weight;
    } else if (weight > secondWeight) {
      top.second = id;
      secondWeight = weight;
    }
  });
  return top;
}

function findPeers(
  self: string,
  homes: Map<string, string[]>,
  runnerUp: string | undefined,
  bucket: number,
): string[] {
  const peers = new Set([...homes.values()].map((ids) => ids[bucket] as string));
  if (runnerUp !== undefined) peers.add(runnerUp);
  peers.delete(self);
  return [...peers];
}

function findBackups(
  self: string,
  homes: Map<string, string[]>,
  runnerUp: string | undefined,
  weights: Map<string, Uint32Array>,
  bucket: number,
): Set<string> {
  const weightOf = (id: string): number => weights.get(id)?.[bucket] ?? 0;
  const otherHomes = [...homes.values()]
    .map((ids) => ids[bucket] as string)
    .filter((id) => id !== self)
    .sort((a, b) => weightOf(b) - weightOf(a));
  const backups = new Set(otherHomes.slice(0, MAX_BACKUP_HOMES));
  if (runnerUp !== undefined && runnerUp !== self) backups.add(runnerUp);
  return backups;
}

/** Computes the topology for a set of live routers. Weights in `previous` are reused. */
export function createTopology(
  options: ExchangeOptions,
  routers: ExchangeRouter[],
  previous?: ExchangeTopology,
): ExchangeTopology {
  const { self, buckets } = options;
  const liveRouters = new Map(routers.map((router) => [router.id, router]));
  liveRouters.set(self.id, { id: self.id, zone: self.zone, address: '' });
  const weights = new Map(
    [...liveRouters.keys()].map((id) => [
      id,
      previous?.weights.get(id) ?? computeWeights(options, id),
    ]),
  );
  const homes = new Map<string, string[]>();
  let runnersUp: (string | undefined)[] = [];
  groupBy(liveRouters.values(), ({ zone }) => zone).forEach((inZone, zone) => {
    const ids = inZone.map(({ id }) => id).sort();
    const topTwoByBucket = Array.from({ length: buckets }, (_, bucket) =>
      findTopTwo(ids, weights, bucket),
    );
    homes.set(
      zone,
      topTwoByBucket.map(({ first }) => first as string),
    );
    if (zone === self.zone) runnersUp = topTwoByBucket.map(({ second }) => second);
  });
  const peers = Array.from({ length: buckets }, (_, bucket) =>
    findPeers(self.id, homes, runnersUp[bucket], bucket),
  );
  const backups = Array.from({ length: buckets }, (_, bucket) =>
    findBackups(self.id, homes, runnersUp[bucket], weights, bucket),
  );
  return { routers: liveRouters, homes, runnersUp, peers, backups, weights };
}

/** Returns the home of a bucket in this router's zone. */
export function findHome(
  topology: ExchangeTopology,
  options: ExchangeOptions,
  bucket: number,
): string {
  return topology.homes.get(options.self.zone)?.[bucket] ?? options.self.id;
}

/**
 * Returns whether this router forwards the cells of former homes to `peer`, which is new to the bucket. All routers in the
 * peer's zone do, and of the homes in other zones the two with the highest weights.
 */
export function forwardsCellsTo(
  topology: ExchangeTopology,
  options: ExchangeOptions,
  bucket: number,
  peer: string,
): boolean {
  const { self } = options;
  if (topology.routers.get(peer)?.zone === self.zone) return true;
  const weightOf = (id: string): number => topology.weights.get(id)?.[bucket] ?? 0;
  const homes = [...topology.homes.values()].map((ids) => ids[bucket] as string);
  const homesOfHigherWeight = homes.filter((id) => id !== peer && weightOf(id) > weightOf(self.id));
  return homesOfHigherWeight.length < MAX_BACKUP_HOMES;
}
