/** Configuration of a small deployment, in the form of the pages. */

export const HOST = 'lopu30.example';
export const KEY = 'asnmgkcuyj8pjbvk9m68';
export const TENANT = 'hule930';

export const STREAM_ROUTE = {
  name: 'r-stream',
  host: HOST,
  pathPrefix: '/jeno781/',
  type: 'streaming',
  timeoutMs: 30_000,
  sloMs: 600,
  priority: 1,
  service: 'huvo11a',
  maxAttempts: 1,
  public: false,
  sticky: true,
  resumable: false,
  gapSloMs: 250,
};

export const UNSAFE_ROUTE = {
  name: 'r-unsafe',
  host: HOST,
  pathPrefix: '/puxa403/',
  type: 'unsafe',
  timeoutMs: 1200,
  sloMs: 243,
  priority: 2,
  service: 'wuno96b',
  maxAttempts: 1,
  public: false,
};

export const SAFE_ROUTE = {
  ...UNSAFE_ROUTE,
  name: 'r-safe',
  pathPrefix: '/cufi504/',
  type: 'safe',
  maxAttempts: 2,
};

/** Returns a configuration with these routes. */
export function createConfig({
  version = 1,
  routes = [STREAM_ROUTE, UNSAFE_ROUTE, SAFE_ROUTE],
  changes = {},
} = {}) {
  return {
    version,
    routes,
    services: [
      {
        name: 'huvo11a',
        healthPath: '/healthz',
        maxConns: 360,
        protocol: 'h1',
        tls: false,
        engine: { slots: 64, kvCapacity: 531_289 },
      },
      { name: 'wuno96b', healthPath: '/healthz', maxConns: 96, protocol: 'h1', tls: false },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
      tokensPerS: 258_999,
    },
    tenants: [{ name: TENANT, apiKeys: [KEY], priority: 1 }],
    ...changes,
  };
}
