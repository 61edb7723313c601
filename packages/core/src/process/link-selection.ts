/** Chooses which routers a process keeps links to. */
import type { ExchangeState } from '../fairness/index.js';
import { rendezvousOrder } from '../hash/index.js';
import type { Hasher } from '../hash/index.js';
import type { Distance, ProcessLocation } from '../protocol/index.js';
import { distanceBetween } from '../protocol/index.js';
import type { ListedRouter } from './types.js';

/** Part of a sidecar's links that goes to the nearest routers; the rest is spread over all. */
const NEAR_PART = 0.75;

const DISTANCE_RANK: Record<Distance, number> = {
  'same-zone': 0,
  'same-region': 1,
  'other-region': 2,
};

/** Routers that a sidecar links to: mostly near ones, some anywhere, spread by rendezvous hashing. */
export function selectRoutersForSidecar(
  hasher: Hasher,
  self: ProcessLocation & { id: string },
  routers: ListedRouter[],
  maxLinks: number,
): ListedRouter[] {
  const byId = new Map(routers.map((router) => [router.id, router]));
  const spread = rendezvousOrder(hasher, self.id, [...byId.keys()]).map(
    (id) => byId.get(id) as ListedRouter,
  );
  const rank = (router: ListedRouter) => DISTANCE_RANK[distanceBetween(self, router)];
  const nearest = [...spread].sort((a, b) => rank(a) - rank(b));
  const chosen = new Set(nearest.slice(0, Math.ceil(maxLinks * NEAR_PART)));
  for (const router of spread) {
    if (chosen.size >= maxLinks) break;
    chosen.add(router);
  }
  return [...chosen];
}

/** Routers that this router dials for the exchange of service totals. Of two that need each other the one with the higher id dials. */
export function selectRoutersToDial(exchange: ExchangeState): string[] {
  const { topology, options } = exchange;
  const { id: self, zone } = options.self;
  const homesHere = new Set(topology.homes.get(zone) ?? []);
  const shared = sharedPeers(exchange);
  const isHomeHere = homesHere.has(self);
  return [...topology.routers.values()]
    .filter((router) => {
      if (router.id === self) return false;
      const needed = homesHere.has(router.id) || shared.has(router.id);
      if (!needed) return false;
      const mutual = shared.has(router.id) || (isHomeHere && router.zone === zone);
      return !mutual || self > router.id;
    })
    .map((router) => router.id);
}

/** Routers with which this one shares buckets, as home or second. */
function sharedPeers({ topology, options }: ExchangeState): Set<string> {
  const { id: self, zone } = options.self;
  const homes = topology.homes.get(zone) ?? [];
  const shared = new Set<string>();
  topology.peers.forEach((peers, bucket) => {
    if (homes[bucket] !== self && topology.runnersUp[bucket] !== self) return;
    peers.forEach((id) => shared.add(id));
  });
  return shared;
}
