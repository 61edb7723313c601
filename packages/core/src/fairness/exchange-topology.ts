/** Homes of the account buckets over the live routers, by rendezvous hashing in each availability zone. */
import { rendezvousWeight } from '../hash/index.js';
import type { ExchangeOptions, ExchangeRouter, ExchangeTopology } from './exchange-types.js';

/** Homes of other zones that keep all that is known of a bucket. */
const HELPERS = 2;

function weightsOf(options: ExchangeOptions, id: string): Uint32Array {
  const { buckets, hasher } = options;
  return Uint32Array.from({ length: buckets }, (_, bucket) =>
    rendezvousWeight(hasher, String(bucket), id),
  );
}

interface Best {
  first: string | undefined;
  second: string | undefined;
}

/** The two routers of highest weight for the bucket. `ids` is sorted, so ties go to the lower id. */
function bestTwo(ids: string[], weights: Map<string, Uint32Array>, bucket: number): Best {
  const best: Best = { first: undefined, second: undefined };
  let firstWeight = -1;
  let secondWeight = -1;
  ids.forEach((id) => {
    const weight = weights.get(id)?.[bucket] ?? 0;
    if (weight > firstWeight) {
      best.second = best.first;
      secondWeight = firstWeight;
      best.first = id;
      firstWeight = weight;
    } else if (weight > secondWeight) {
      best.second = id;
      secondWeight = weight;
    }
  });
  return best;
}

function byZone(routers: Iterable<ExchangeRouter>): Map<string, string[]> {
  const zones = new Map<string, string[]>();
  [...routers].forEach(({ id, zone }) => {
    const ids = zones.get(zone) ?? [];
    ids.push(id);
    zones.set(zone, ids);
  });
  zones.forEach((ids) => ids.sort());
  return zones;
}

function peersOf(
  self: string,
  homes: Map<string, string[]>,
  second: string | undefined,
  bucket: number,
): string[] {
  const peers = new Set([...homes.values()].map((ids) => ids[bucket] as string));
  if (second !== undefined) peers.add(second);
  peers.delete(self);
  return [...peers];
}

function backupsOf(
  self: string,
  homes: Map<string, string[]>,
  second: string | undefined,
  weights: Map<string, Uint32Array>,
  bucket: number,
): Set<string> {
  const weightOf = (id: string): number => weights.get(id)?.[bucket] ?? 0;
  const others = [...homes.values()]
    .map((ids) => ids[bucket] as string)
    .filter((id) => id !== self)
    .sort((a, b) => weightOf(b) - weightOf(a));
  const backups = new Set(others.slice(0, HELPERS));
  if (second !== undefined && second !== self) backups.add(second);
  return backups;
}

/** Works out the homes. Weights of routers that were known before are kept. */
export function createTopology(
  options: ExchangeOptions,
  routers: ExchangeRouter[],
  former?: ExchangeTopology,
): ExchangeTopology {
  const { self, buckets } = options;
  const live = new Map(routers.map((router) => [router.id, router]));
  live.set(self.id, { id: self.id, zone: self.zone, address: '' });
  const weights = new Map(
    [...live.keys()].map((id) => [id, former?.weights.get(id) ?? weightsOf(options, id)]),
  );
  const homes = new Map<string, string[]>();
  let runnersUp: (string | undefined)[] = [];
  byZone(live.values()).forEach((ids, zone) => {
    const best = Array.from({ length: buckets }, (_, bucket) => bestTwo(ids, weights, bucket));
    homes.set(
      zone,
      best.map(({ first }) => first as string),
    );
    if (zone === self.zone) runnersUp = best.map(({ second }) => second);
  });
  const peers = Array.from({ length: buckets }, (_, bucket) =>
    peersOf(self.id, homes, runnersUp[bucket], bucket),
  );
  const backups = Array.from({ length: buckets }, (_, bucket) =>
    backupsOf(self.id, homes, runnersUp[bucket], weights, bucket),
  );
  return { routers: live, homes, runnersUp, peers, backups, weights };
}

/** Home of the bucket in this router's zone. */
export function homeOf(
  topology: ExchangeTopology,
  options: ExchangeOptions,
  bucket: number,
): string {
  return topology.homes.get(options.self.zone)?.[bucket] ?? options.self.id;
}

/**
 * Whether this router tells `peer`, new to the bucket, what former homes counted: every router of the peer's own zone that
 * knows does, and of the other homes the two of highest weight.
 */
export function helpsNewPeer(
  topology: ExchangeTopology,
  options: ExchangeOptions,
  bucket: number,
  peer: string,
): boolean {
  const { self } = options;
  if (topology.routers.get(peer)?.zone === self.zone) return true;
  const weightOf = (id: string): number => topology.weights.get(id)?.[bucket] ?? 0;
  const homes = [...topology.homes.values()].map((ids) => ids[bucket] as string);
  const heavier = homes.filter((id) => id !== peer && weightOf(id) > weightOf(self.id));
  return heavier.length < HELPERS;
}
