/**
 * Topology of the exchange of load reports. Routers form groups of about the square root of the fleet's size, each within one
 * availability zone. The members of a group send their reports to one of them, its hub, and the hubs exchange the sums of their
 * groups. So a router has about as many links as a group has members, and a report passes at most two other routers.
 */
import { groupBy } from '../collections/index.js';
import { rendezvousOrder } from '../hash/index.js';
import type { Hasher } from '../hash/index.js';

/** Router as registered in the store. */
export interface RouterInfo {
  name: string;
  /** Address of the links between routers. */
  address: string;
  zone: string;
  /** Share of a processor core that the router may use. */
  cores: number;
}

/** Links that one router needs. In each list, the first reachable router is used. */
export interface ExchangePlan {
  /** Routers that are preferred as hub of the own group, best first; empty if this router is the preferred one. */
  hubCandidates: RouterInfo[];
  /** Candidates for the hub of each other group, by the key of the group. */
  otherGroups: Map<string, RouterInfo[]>;
  /** Whether the hub of the own group watches the store for the fleet. In a small fleet each router watches for itself. */
  watchesStore: boolean;
}

/** Up to this number of routers, each is a group of its own: direct links have the least delay. */
const MAX_ROUTERS_WITHOUT_GROUPS = 8;

/** Returns the routers of a group in the order in which they are preferred as its hub: by processor share, then by hash. */
function rankHubs(hasher: Hasher, group: string, routers: RouterInfo[]): RouterInfo[] {
  const names = routers.map(({ name }) => name);
  const rank = new Map(rendezvousOrder(hasher, group, names).map((name, index) => [name, index]));
  return [...routers].sort((a, b) => b.cores - a.cores || rank.get(a.name)! - rank.get(b.name)!);
}

/** Assigns the routers to groups. All routers that know the same fleet get the same groups. */
function formGroups(hasher: Hasher, routers: readonly RouterInfo[]): Map<string, RouterInfo[]> {
  if (routers.length <= MAX_ROUTERS_WITHOUT_GROUPS) return groupBy(routers, ({ name }) => name);
  const groupSize = Math.sqrt(routers.length);
  const groups = new Map<string, RouterInfo[]>();
  groupBy(routers, ({ zone }) => zone).forEach((inZone, zone) => {
    const count = Math.max(1, Math.round(inZone.length / groupSize));
    groupBy(inZone, ({ name }) => `${zone}/${hasher.hash32(name) % count}`).forEach((group, key) =>
      groups.set(key, group),
    );
  });
  return groups;
}

/** Number of groups whose hubs watch the store: if one of them fails, the others go on. */
const WATCHING_GROUPS = 2;

/** Plans the links of the router named `self`. */
export function planExchange(
  hasher: Hasher,
  self: string,
  routers: readonly RouterInfo[],
): ExchangePlan {
  const groups = formGroups(hasher, routers);
  const isGrouped = routers.length > MAX_ROUTERS_WITHOUT_GROUPS;
  const watching = rendezvousOrder(hasher, 'store-watch', [...groups.keys()]).slice(
    0,
    isGrouped ? WATCHING_GROUPS : 0,
  );
  const plan: ExchangePlan = { hubCandidates: [], otherGroups: new Map(), watchesStore: false };
  groups.forEach((group, key) => {
    const ranked = rankHubs(hasher, key, group);
    const ownIndex = ranked.findIndex(({ name }) => name === self);
    if (ownIndex < 0) plan.otherGroups.set(key, ranked);
    else {
      plan.hubCandidates = ranked.slice(0, ownIndex);
      plan.watchesStore = watching.includes(key);
    }
  });
  return plan;
}
