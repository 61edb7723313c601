/** Emulated model engine as an HTTP server. */
import Router from '@koa/router';
import { addAdminRoutes } from '../common/admin-routes.js';
import { createFaultTable } from '../common/faults.js';
import { createJournal } from '../common/journal.js';
import { routerMiddleware, startKoaServer } from '../common/koa-server.js';
import { createRandom } from '../common/random.js';
import { createCacheFeed } from './cache-feed.js';
import { addEngineRoutes } from './engine-routes.js';
import { createLoadReporter } from './load-reporter.js';
import { createModels } from './models.js';
import { createRunner } from './runner.js';
import { EngineFaultKind } from './types.js';
import type {
  BatchSettings,
  EngineFault,
  EngineOptions,
  EngineRunEntry,
  EngineStandin,
} from './types.js';

const BATCH_DEFAULTS: BatchSettings = {
  baseTokenMs: 12,
  perSequenceMs: 0.5,
  prefillTokenMs: 0.1,
  maxBatch: 16,
  kvTokensTotal: 65_536,
  cacheBlocks: 1024,
  blockTokens: 64,
};

const DEFAULTS = {
  seed: 1,
  timeScale: 1,
  tokensPerChunk: 1,
  loadLagMs: 200,
  cacheEventLagMs: 200,
  cacheEventLoss: 0.02,
  resumeKeepMs: 30_000,
  cancelOnDisconnect: false,
  checksFencing: false,
  modelLoadMs: 1000,
  models: ['standin-model'],
};

const pickBatchSettings = (options: EngineOptions): BatchSettings => {
  const settings = { ...BATCH_DEFAULTS };
  (Object.keys(settings) as (keyof BatchSettings)[]).forEach((key) => {
    settings[key] = options[key] ?? settings[key];
  });
  return settings;
};

/** Starts an emulated model engine with continuous batching. */
export const createEngineStandin = async (options: EngineOptions = {}): Promise<EngineStandin> => {
  const config = { ...DEFAULTS, ...options };
  const { timeScale } = config;
  const random = createRandom(config.seed);
  const journal = createJournal<EngineRunEntry>();
  let onFault: (fault: EngineFault) => void = () => {};
  const faults = createFaultTable<EngineFaultKind>({ random, onStart: (fault) => onFault(fault) });
  const cacheFeed = createCacheFeed({
    lagMs: config.cacheEventLagMs / timeScale,
    lossProbability: config.cacheEventLoss,
    random: createRandom(config.seed + 1),
  });
  const settings = pickBatchSettings(options);
  const runner = createRunner({ ...config, settings, faults, journal, cacheFeed });
  const models = createModels({
    initialModels: config.models,
    checksFencing: config.checksFencing,
    loadMs: config.modelLoadMs / timeScale,
    weightStoreUrl: config.weightStoreUrl,
  });
  const loadReporter = createLoadReporter(runner.loop.state, config.loadLagMs / timeScale);

  const adminRouter = new Router();
  const state = () => ({
    models: models.loaded(),
    loading: models.loading(),
    role: models.role(),
    faults: faults.list(),
    ...loadReporter.sample(),
  });
  addAdminRoutes({
    router: adminRouter,
    kinds: Object.values(EngineFaultKind),
    faults,
    journal,
    state,
  });
  adminRouter.get('/admin/orders', (ctx) => {
    ctx.body = { entries: models.journal.after(0) };
  });
  const serviceRouter = new Router();
  addEngineRoutes({ router: serviceRouter, runner, models, faults, cacheFeed, loadReporter });

  const server = await startKoaServer(
    [routerMiddleware(adminRouter), routerMiddleware(serviceRouter)],
    options,
  );
  onFault = (fault) => {
    if (fault.kind === EngineFaultKind.Freeze) runner.loop.freeze(fault.durationMs * timeScale);
    if (fault.kind !== EngineFaultKind.CrashLoseAll) return;
    runner.crash();
    // Deferred so that the admin call that triggers the crash still gets its response.
    setImmediate(() => server.destroyConnections());
  };
  faults.setPlan(options.plan ?? []);

  return {
    port: server.port,
    url: server.url,
    faults,
    journal: () => journal.after(0),
    state,
    orders: () => models.journal.after(0),
    close: async () => {
      faults.close();
      models.close();
      loadReporter.close();
      runner.loop.close();
      await server.close();
    },
  };
};
