/** Puts the model engine together. */
import Router from '@koa/router';
import { addAdminRoutes } from '../common/admin-routes.js';
import { createFaultTable } from '../common/faults.js';
import { createJournal } from '../common/journal.js';
import { routerMiddleware, startKoaServer } from '../common/koa-server.js';
import { createRandom } from '../common/random.js';
import { createCacheFeed } from './cache-feed.js';
import { addEngineRoutes } from './engine-routes.js';
import { createLoadReporter } from './load-report.js';
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

/** Starts an emulated model engine that batches continuously. */
export const createEngineStandin = async (options: EngineOptions = {}): Promise<EngineStandin> => {
  const cfg = { ...DEFAULTS, ...options };
  const { timeScale } = cfg;
  const random = createRandom(cfg.seed);
  const journal = createJournal<EngineRunEntry>();
  let onFault: (fault: EngineFault) => void = () => {};
  const faults = createFaultTable<EngineFaultKind>({ random, onStart: (fault) => onFault(fault) });
  const cacheFeed = createCacheFeed({
    lagMs: cfg.cacheEventLagMs / timeScale,
    loss: cfg.cacheEventLoss,
    random: createRandom(cfg.seed + 1),
  });
  const settings = pickBatchSettings(options);
  const runner = createRunner({ ...cfg, settings, faults, journal, cacheFeed });
  const models = createModels({
    initial: cfg.models,
    checksFencing: cfg.checksFencing,
    loadMs: cfg.modelLoadMs / timeScale,
    weightStoreUrl: cfg.weightStoreUrl,
  });
  const load = createLoadReporter(runner.loop.state, cfg.loadLagMs / timeScale);

  const admin = new Router();
  const state = () => ({
    models: models.loaded(),
    loading: models.loading(),
    role: models.role(),
    faults: faults.list(),
    ...load.sample(),
  });
  addAdminRoutes({ router: admin, kinds: Object.values(EngineFaultKind), faults, journal, state });
  admin.get('/admin/orders', (ctx) => {
    ctx.body = { entries: models.journal.after(0) };
  });
  const service = new Router();
  addEngineRoutes({ router: service, runner, models, faults, cacheFeed, load });

  const host = await startKoaServer([routerMiddleware(admin), routerMiddleware(service)], options);
  onFault = (fault) => {
    if (fault.kind === EngineFaultKind.Freeze) runner.loop.freeze(fault.durationMs * timeScale);
    if (fault.kind !== EngineFaultKind.CrashLoseAll) return;
    runner.crash();
    // Later than now, so that an admin call that asks for the crash is answered.
    setImmediate(() => host.destroyConnections());
  };
  faults.setPlan(options.plan ?? []);

  return {
    port: host.port,
    url: host.url,
    faults,
    journal: () => journal.after(0),
    state,
    orders: () => models.journal.after(0),
    close: async () => {
      faults.close();
      models.close();
      load.close();
      runner.loop.close();
      await host.close();
    },
  };
};
