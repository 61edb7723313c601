/** Simulates the platform's load balancer: uneven traffic per account, none to routers out of rotation. */
import { getOwn } from '@kingcupsill/core/collections';
import type { RequestRecord } from '../measure/types.js';
import type { Destination, LoadClient } from './client.js';
import { chooseRouter } from './routing.js';
import type { ScheduledRequest } from './types.js';

/** Name and base URL of a router. */
export interface RouterTarget {
  name: string;
  url: string;
}

/** ID and API key of a client account. */
export interface CallerAccount {
  id: string;
  apiKey: string;
}

/** Routers, client accounts and pools known to the balancer. */
export interface BalancerOptions {
  routers: readonly RouterTarget[];
  accounts: readonly CallerAccount[];
  /** Pool names, keyed by service. */
  pools: Readonly<Record<string, string>>;
}

/** Selects a router for each request and sends it. */
export interface Balancer {
  /** Adds a router to the rotation or removes it. */
  setInRotation: (router: string, isInRotation: boolean) => void;
  /** Returns the preferred router that is in rotation, or the preferred one if none is. */
  route: (req: ScheduledRequest) => Destination;
  /** Sends to the selected router and, while connections are refused, tries the following ones. */
  send: (client: LoadClient, req: ScheduledRequest) => Promise<RequestRecord>;
}

/** Error code of a refused connection; nothing was sent, so another router can be tried safely. */
const CONNECTION_REFUSED = 'ECONNREFUSED';

/** Creates a balancer with all routers in rotation. */
export function createBalancer({ routers, accounts, pools }: BalancerOptions): Balancer {
  const excluded = new Set<string>();
  const indexes = new Map(accounts.map(({ id }, i) => [id, i]));

  const routeSkipping = (req: ScheduledRequest, skip: number): Destination => {
    const index = indexes.get(req.account) ?? 0;
    const first = chooseRouter(index, req.routerPosition, routers.length);
    const byPreference = routers.map(
      (_, i) => routers[(first + i) % routers.length] as RouterTarget,
    );
    const inRotation = byPreference.filter(({ name }) => !excluded.has(name));
    const candidates = inRotation.length === 0 ? byPreference : inRotation;
    const { name, url } = candidates[skip % candidates.length] as RouterTarget;
    return {
      router: name,
      url,
      apiKey: accounts[index]?.apiKey ?? '',
      pool: getOwn(pools, req.call.service) ?? '',
    };
  };

  const send = async (client: LoadClient, req: ScheduledRequest) => {
    let record = await client.send(req, routeSkipping(req, 0));
    for (let skip = 1; skip < routers.length && record.code === CONNECTION_REFUSED; skip++) {
      record = await client.send(req, routeSkipping(req, skip));
    }
    return record;
  };

  return {
    setInRotation: (router, isInRotation) => {
      if (isInRotation) excluded.delete(router);
      else excluded.add(router);
    },
    route: (req) => routeSkipping(req, 0),
    send,
  };
}
