/** Configuration of a small deployment: one application service and one model service, like those of the pages. */

export const KEY = 'asnmgkcuyj8pjbvk9m68';
export const HOST_NAME = 'ficu95.example';

const ROUTE = { host: HOST_NAME, priority: 1, public: false };

/** @param changes fields that differ, at the top level */
export function createConfig(changes = {}) {
  return {
    version: 7,
    routes: [
      {
        ...ROUTE,
        name: 'r-safe',
        pathPrefix: '/look/',
        type: 'safe',
        timeoutMs: 2000,
        sloMs: 243,
        service: 'shop',
        maxAttempts: 2,
      },
      {
        ...ROUTE,
        name: 'r-unsafe',
        pathPrefix: '/log/',
        type: 'unsafe',
        timeoutMs: 2000,
        sloMs: 243,
        service: 'shop',
        maxAttempts: 2,
      },
      {
        ...ROUTE,
        name: 'r-stream',
        pathPrefix: '/review/',
        type: 'streaming',
        timeoutMs: 12_000,
        sloMs: 800,
        service: 'models',
        maxAttempts: 2,
        sticky: true,
        resumable: true,
        gapSloMs: 250,
      },
    ],
    services: [
      { name: 'shop', healthPath: '/healthz', maxConns: 96, protocol: 'h1', tls: false },
      {
        name: 'models',
        healthPath: '/healthz',
        maxConns: 360,
        protocol: 'h1',
        tls: false,
        engine: { slots: 64, kvCapacity: 531_289, models: [{ name: 'm' }] },
      },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
      tokensPerS: 258_999,
    },
    tenants: [{ name: 'hule930', apiKeys: [KEY], priority: 1 }],
    ...changes,
  };
}
