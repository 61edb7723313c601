/** Emulated platform service as an HTTP server. */
import { getOwn, setOwn } from '@kingcupsill/core/collections';
import { Readable } from 'node:stream';
import Router from '@koa/router';
import { addAdminRoutes } from '../common/admin-routes.js';
import { createFaultTable } from '../common/faults.js';
import { createJournal } from '../common/journal.js';
import { routerMiddleware, startKoaServer } from '../common/koa-server.js';
import { createRandom } from '../common/random.js';
import { createCallMiddleware } from './call-middleware.js';
import { createInstanceList } from './instance-list.js';
import { addInstanceAdminRoutes, addInstanceRoutes } from './instance-routes.js';
import { addObjectRoutes } from './object-routes.js';
import { createObjectStore } from './object-store.js';
import { PlatformFaultKind } from './types.js';
import type { PlatformOptions, PlatformStandin, WriteEntry } from './types.js';
import { createWatchers } from './watchers.js';
import { createWeightStore } from './weight-store.js';
import type { WeightStore } from './weight-store.js';

const DEFAULTS = {
  seed: 1,
  writesPerSecond: 300,
  readsPerSecond: 2000,
  instanceLagMs: 1000,
  watchHistory: 10_000,
  weightBytes: 1_048_576,
  weightBytesPerSecond: 8_388_608,
} as const;

const addWeightRoutes = (router: Router, weights: WeightStore): void => {
  router.get('/v1/weights/:model', (ctx) => {
    ctx.type = 'application/octet-stream';
    ctx.length = weights.sizeBytes;
    ctx.body = Readable.from(weights.read(ctx.params.model ?? ''), { objectMode: false });
  });
};

/** Starts an emulated platform service with an object store, an instance list and a weight store. */
export const createPlatformStandin = async (
  options: PlatformOptions = {},
): Promise<PlatformStandin> => {
  const config = { ...DEFAULTS, ...options };
  const journal = createJournal<WriteEntry>();
  const store = createObjectStore({ historyLength: config.watchHistory });
  const watchers = createWatchers();
  const faults = createFaultTable<PlatformFaultKind>({
    random: createRandom(config.seed),
    onStart: ({ kind }) => {
      if (kind === PlatformFaultKind.Outage) watchers.resolveAll();
    },
  });
  const instances = createInstanceList(config.instanceLagMs, options.instances ?? []);
  const calls: Record<string, number> = {};
  const countCall = (kind: string) => {
    setOwn(calls, kind, (getOwn(calls, kind) ?? 0) + 1);
  };

  const adminRouter = new Router();
  const kinds = Object.values(PlatformFaultKind);
  const state = () => ({ version: store.version(), calls, faults: faults.list() });
  addAdminRoutes({ router: adminRouter, kinds, faults, journal, state });
  addInstanceAdminRoutes(adminRouter, instances);
  adminRouter.get('/admin/stats', (ctx) => {
    ctx.body = { calls };
  });

  const serviceRouter = new Router();
  addObjectRoutes({ router: serviceRouter, store, watchers, faults, journal });
  addInstanceRoutes(serviceRouter, instances);
  addWeightRoutes(
    serviceRouter,
    createWeightStore(config.weightBytes, config.weightBytesPerSecond),
  );

  const callMiddleware = createCallMiddleware({ ...config, faults, countCall });
  const server = await startKoaServer(
    [routerMiddleware(adminRouter), callMiddleware, routerMiddleware(serviceRouter)],
    options,
  );
  faults.setPlan(options.plan ?? []);

  return {
    port: server.port,
    url: server.url,
    faults,
    journal: () => journal.after(0),
    state,
    stats: () => ({ ...calls }),
    putInstance: (instance) => instances.put(instance, performance.now()),
    deleteInstance: (id) => instances.remove(id, performance.now()),
    close: async () => {
      faults.close();
      watchers.resolveAll();
      await server.close();
    },
  };
};
