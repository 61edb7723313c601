/** Chooses routers for requests as the platform's balancer does: accounts unevenly, routers that left not at all. */
import type { RequestRecord } from '../measure/types.js';
import type { Destination, LoadClient } from './client.js';
import { chooseRouter } from './routing.js';
import type { ScheduledRequest } from './types.js';

/** A router as callers reach it. */
export interface RouterTarget {
  name: string;
  url: string;
}

/** An account as the balancer needs it. */
export interface CallerAccount {
  id: string;
  apiKey: string;
}

/** What the balancer chooses from. */
export interface BalancerOptions {
  routers: readonly RouterTarget[];
  accounts: readonly CallerAccount[];
  /** Pool of each service. */
  pools: Readonly<Record<string, string>>;
}

/** Chooses routers and sends. */
export interface Balancer {
  setInRotation: (router: string, isInUse: boolean) => void;
  /** Router of a request; its account's next one in use when the first is out. */
  route: (req: ScheduledRequest) => Destination;
  /** Sends through the routed router, or the next ones while connections are refused. */
  send: (client: LoadClient, req: ScheduledRequest) => Promise<RequestRecord>;
}

/** Code of a connection that no process accepted, so that nothing was sent. */
const NOT_CONNECTED = 'ECONNREFUSED';

/** Creates a balancer with all routers in use. */
export function createBalancer({ routers, accounts, pools }: BalancerOptions): Balancer {
  const out = new Set<string>();
  const indexes = new Map(accounts.map(({ id }, i) => [id, i]));

  const routeAfter = (req: ScheduledRequest, skip: number): Destination => {
    const index = indexes.get(req.account) ?? 0;
    const first = chooseRouter(index, req.routerPosition, routers.length);
    const order = routers.map((_, i) => routers[(first + i) % routers.length] as RouterTarget);
    const usable = order.filter(({ name }) => !out.has(name));
    const candidates = usable.length === 0 ? order : usable;
    const { name, url } = candidates[skip % candidates.length] as RouterTarget;
    return {
      router: name,
      url,
      apiKey: accounts[index]?.apiKey ?? '',
      pool: pools[req.call.service] ?? '',
    };
  };

  const send = async (client: LoadClient, req: ScheduledRequest) => {
    let record = await client.send(req, routeAfter(req, 0));
    for (let skip = 1; skip < routers.length && record.code === NOT_CONNECTED; skip++) {
      record = await client.send(req, routeAfter(req, skip));
    }
    return record;
  };

  return {
    setInRotation: (router, isInUse) => {
      if (isInUse) out.delete(router);
      else out.add(router);
    },
    route: (req) => routeAfter(req, 0),
    send,
  };
}
