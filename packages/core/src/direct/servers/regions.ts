/** Regions in which requests may be served. */
import type { DirectState } from '../state.js';
import type { RequestAttributes } from '../types.js';

/**
 * Returns the lists of regions that bind a request: those of its route and its client account, as they were when it arrived and as
 * they are now. A server has to be in a region of each list; an empty list allows all regions.
 */
function listBindings(
  { routeTable }: DirectState,
  { route, account, accountRegions }: RequestAttributes,
): readonly string[][] {
  const current = routeTable?.findRoute(route.host, route.pathPrefix);
  const lists = [route.allowedRegions, accountRegions, current?.allowedRegions ?? []];
  if (account !== undefined)
    lists.push(routeTable?.findAccountByName(account)?.allowedRegions ?? []);
  return lists.filter((regions) => regions.length > 0);
}

/** Condition on the availability zone of a server. */
export type ZoneFilter = (zone: string) => boolean;

const ALLOW_ALL: ZoneFilter = () => true;

/** Returns which zones a request may reach. A zone whose region is unknown is in no region. */
export function createRegionFilter(state: DirectState, attributes: RequestAttributes): ZoneFilter {
  const bindings = listBindings(state, attributes);
  if (bindings.length === 0) return ALLOW_ALL;
  const { regionByZone } = state.options;
  return (zone) => {
    const region = regionByZone.get(zone);
    return region !== undefined && bindings.every((regions) => regions.includes(region));
  };
}
