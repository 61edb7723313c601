/** Configurations and places like those of `sites/bmpw-polish.toml`. */

export const HOST = 'ficu95.example';
export const ZONES = { 'kgn-a': 'kingston', 'mbj-a': 'montego', 'mdv-a': 'mandeville' };
/** Machines of the site: two in the first zone. */
export const MACHINES = [
  ['edge-kgn-a-1', 'kgn-a'],
  ['edge-kgn-a-2', 'kgn-a'],
  ['edge-mbj-a-1', 'mbj-a'],
  ['edge-mdv-a-1', 'mdv-a'],
];
export const KEY = 'asnmgkcuyj8pjbvk9m68';
export const TENANT = { name: 'hule930', apiKeys: [KEY], priority: 1 };

const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3000,
  idleTimeoutMs: 15_000,
  tokensPerS: 258_999,
};
const APP = {
  host: HOST,
  timeoutMs: 1200,
  sloMs: 243,
  priority: 2,
  maxAttempts: 2,
  public: false,
  sticky: false,
  resumable: false,
};
const STREAM = { ...APP, timeoutMs: 12_000, sloMs: 800, priority: 1, sticky: true, gapSloMs: 250 };

export function lookRoute(service, rest = {}) {
  return { ...APP, name: 'r-look', pathPrefix: '/look/', type: 'safe', service, ...rest };
}
export function logRoute(service, rest = {}) {
  return { ...APP, name: 'r-log', pathPrefix: '/log/', type: 'unsafe', service, ...rest };
}
export function reviewRoute(service, rest = {}) {
  return {
    ...STREAM,
    name: 'r-review',
    pathPrefix: '/review/',
    type: 'streaming',
    resumable: true,
    service,
    ...rest,
  };
}
export function appService(name) {
  return { name, healthPath: '/healthz', maxConns: 96, protocol: 'h1', tls: false };
}
export function modelService(name) {
  const engine = { slots: 64, kvCapacity: 531_289, kvBytes: 163_840, models: [{ name: 'm' }] };
  return { ...appService(name), maxConns: 360, engine };
}
export function configuration(version, { routes, services, tenants = [TENANT] }) {
  return { version, routes, services, limits: LIMITS, tenants };
}
