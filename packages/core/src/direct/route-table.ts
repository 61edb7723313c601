/** Finds the route and the client account of a request in one version of the configuration. */
import type { AccountSpec, FleetConfig, Route, ServiceSpec } from './types.js';

/** Look-ups in one version of the configuration. */
export interface RouteTable {
  config: FleetConfig;
  /** The route with the longest prefix of `path` among those of `host`. */
  findRoute(host: string, path: string): Route | undefined;
  findAccount(apiKey: string): AccountSpec | undefined;
  findService(name: string): ServiceSpec | undefined;
}

/** Host without port, in lower case. */
function normaliseHost(host: string): string {
  const lower = host.toLowerCase();
  const colon = lower.lastIndexOf(':');
  return colon > lower.lastIndexOf(']') ? lower.slice(0, colon) : lower;
}

function routesByHost(routes: Route[]): Map<string, Map<string, Route>> {
  const hosts = new Map<string, Map<string, Route>>();
  routes.forEach((route) => {
    const prefixes = hosts.get(route.host) ?? new Map<string, Route>();
    prefixes.set(route.pathPrefix, route);
    hosts.set(route.host, prefixes);
  });
  return hosts;
}

function accountsByKey(accounts: AccountSpec[]): Map<string, AccountSpec> {
  return new Map(accounts.flatMap((account) => account.apiKeys.map((key) => [key, account])));
}

/** Builds the look-ups. A path is matched slash by slash from its longest prefix, so their number hardly matters. */
export function createRouteTable(config: FleetConfig): RouteTable {
  const hosts = routesByHost(config.routes);
  const keys = accountsByKey(config.accounts ?? []);
  const services = new Map(config.services.map((service) => [service.name, service]));

  function findRoute(host: string, path: string): Route | undefined {
    const prefixes = hosts.get(normaliseHost(host));
    if (prefixes === undefined) return undefined;
    const query = path.indexOf('?');
    const end = query < 0 ? path.length : query;
    for (let slash = path.lastIndexOf('/', end - 1); slash >= 0;) {
      const route = prefixes.get(path.slice(0, slash + 1));
      if (route !== undefined) return route;
      slash = slash === 0 ? -1 : path.lastIndexOf('/', slash - 1);
    }
    return undefined;
  }

  return {
    config,
    findRoute,
    findAccount: (apiKey) => keys.get(apiKey),
    findService: (name) => services.get(name),
  };
}

/** Picks a service by weight; `draw` is from 0 up to, not including, 1. Undefined where no weight is above 0. */
export function pickService(route: Route, draw: number): string | undefined {
  const total = route.services.reduce((sum, { weight }) => sum + weight, 0);
  let left = draw * total;
  return route.services.find(({ weight }) => {
    left -= weight;
    return weight > 0 && left < 0;
  })?.service;
}
