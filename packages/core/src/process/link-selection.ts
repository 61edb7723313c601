/** Selection of the routers that a process keeps links to. */
import type { ExchangeState } from '../fairness/index.js';
import { rendezvousOrder } from '../hash/index.js';
import type { Hasher } from '../hash/index.js';
import type { Distance, ProcessLocation } from '../protocol/index.js';
import { distanceBetween } from '../protocol/index.js';
import type { ListedRouter } from './types.js';

/** Fraction of a sidecar's links that go to the nearest routers; the rest are distributed over all routers. */
const NEAREST_LINKS_FRACTION = 0.75;

const DISTANCE_RANK: Record<Distance, number> = {
  'same-zone': 0,
  'same-region': 1,
  'other-region': 2,
};

/** Selects the routers that a sidecar links to: mostly near ones and some at any distance, distributed by rendezvous hashing. */
export function selectRoutersForSidecar(
  hasher: Hasher,
  self: ProcessLocation & { id: string },
  routers: ListedRouter[],
  maxLinks: number,
): ListedRouter[] {
  const byId = new Map(routers.map((router) => [router.id, router]));
  const ordered = rendezvousOrder(hasher, self.id, [...byId.keys()]).map(
    (id) => byId.get(id) as ListedRouter,
  );
  const distanceRank = (router: ListedRouter) => DISTANCE_RANK[distanceBetween(self, router)];
  const nearest = [...ordered].sort((a, b) => distanceRank(a) - distanceRank(b));
  const selected = new Set(nearest.slice(0, Math.ceil(maxLinks * NEAREST_LINKS_FRACTION)));
  for (const router of ordered) {
    if (selected.size >= maxLinks) break;
    selected.add(router);
  }
  return [...selected];
}

/** Selects the routers that this router dials to exchange service totals. If both sides need the link, the one with the higher id dials. */
export function selectRoutersToDial(exchange: ExchangeState): string[] {
  const { topology, options } = exchange;
  const { id: self, zone } = options.self;
  const zoneHomes = new Set(topology.homes.get(zone) ?? []);
  const bucketPeers = findBucketPeers(exchange);
  const isHome = zoneHomes.has(self);
  return [...topology.routers.values()]
    .filter((router) => {
      if (router.id === self) return false;
      const isNeeded = zoneHomes.has(router.id) || bucketPeers.has(router.id);
      if (!isNeeded) return false;
      const isMutual = bucketPeers.has(router.id) || (isHome && router.zone === zone);
      return !isMutual || self > router.id;
    })
    .map((router) => router.id);
}

/** Returns the peers for the buckets of which this router is the home router or the runner-up. */
function findBucketPeers({ topology, options }: ExchangeState): Set<string> {
  const { id: self, zone } = options.self;
  const homes = topology.homes.get(zone) ?? [];
  const bucketPeers = new Set<string>();
  topology.peers.forEach((peers, bucket) => {
    if (homes[bucket] !== self && topology.runnersUp[bucket] !== self) return;
    peers.forEach((id) => bucketPeers.add(id));
  });
  return bucketPeers;
}
