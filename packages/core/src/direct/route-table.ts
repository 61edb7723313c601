/** Looks up the route, the client account and the service of a request in one version of the configuration. */
import { groupBy } from '../collections/index.js';
import type { AccountSpec, FleetConfig, Route, ServiceSpec } from './types.js';

/** Lookups in one version of the configuration. */
export interface RouteTable {
  config: FleetConfig;
  /** Returns the route of `host` with the longest prefix of `path`. */
  findRoute(host: string, path: string): Route | undefined;
  findAccount(apiKey: string): AccountSpec | undefined;
  findAccountByName(name: string): AccountSpec | undefined;
  findService(name: string): ServiceSpec | undefined;
}

/** Returns the host in lower case without its port. */
function normaliseHost(host: string): string {
  const lower = host.toLowerCase();
  const colon = lower.lastIndexOf(':');
  return colon > lower.lastIndexOf(']') ? lower.slice(0, colon) : lower;
}

/** Routes of one host. */
interface HostRoutes {
  byPrefix: Map<string, Route>;
  /** Distinct lengths of the prefixes, longest first. */
  prefixLengths: number[];
}

function indexRoutes(routes: Route[]): Map<string, HostRoutes> {
  const routesByHost = groupBy(routes, ({ host }) => host);
  return new Map(
    [...routesByHost].map(([host, ofHost]) => {
      const byPrefix = new Map(ofHost.map((route) => [route.pathPrefix, route]));
      const lengths = new Set(ofHost.map(({ pathPrefix }) => pathPrefix.length));
      return [host, { byPrefix, prefixLengths: [...lengths].sort((a, b) => b - a) }];
    }),
  );
}

function indexAccounts(accounts: AccountSpec[]): Map<string, AccountSpec> {
  return new Map(accounts.flatMap((account) => account.apiKeys.map((key) => [key, account])));
}

/**
 * Creates the lookups. A path lookup tries one prefix for each length of a prefix, longest first, independently of the number of routes
 * and of what the path contains.
 */
export function createRouteTable(config: FleetConfig): RouteTable {
  const routesByHost = indexRoutes(config.routes);
  const accountByKey = indexAccounts(config.accounts ?? []);
  const accountByName = new Map(config.accounts?.map((account) => [account.name, account]));
  const serviceByName = new Map(config.services.map((service) => [service.name, service]));

  function findRoute(host: string, path: string): Route | undefined {
    const routes = routesByHost.get(normaliseHost(host));
    if (routes === undefined) return undefined;
    const queryIndex = path.indexOf('?');
    const pathEnd = queryIndex < 0 ? path.length : queryIndex;
    const { byPrefix, prefixLengths } = routes;
    const length = prefixLengths.find(
      (candidate) => candidate <= pathEnd && byPrefix.has(path.slice(0, candidate)),
    );
    return length === undefined ? undefined : byPrefix.get(path.slice(0, length));
  }

  return {
    config,
    findRoute,
    findAccount: (apiKey) => accountByKey.get(apiKey),
    findAccountByName: (name) => accountByName.get(name),
    findService: (name) => serviceByName.get(name),
  };
}

/** Picks a service by weight with `draw` in [0, 1); undefined if no weight is above 0. */
export function pickService(route: Route, draw: number): string | undefined {
  const totalWeight = route.services.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = draw * totalWeight;
  return route.services.find(({ weight }) => {
    remaining -= weight;
    return weight > 0 && remaining < 0;
  })?.service;
}
