/** Emulated application backend server as an HTTP server. */
import type { ServerResponse } from 'node:http';
import Router from '@koa/router';
import type { Context } from 'koa';
import { addAdminRoutes } from '../common/admin-routes.js';
import { readBody } from '../common/body.js';
import { closeSignal } from '../common/close-signal.js';
import { delay } from '../common/delay.js';
import { sha256 } from '../common/digest.js';
import { createFaultTable, getCutAfter, delayByFault } from '../common/faults.js';
import type { FaultTable } from '../common/types.js';
import { createJournal } from '../common/journal.js';
import type { Journal } from '../common/journal.js';
import { routerMiddleware, sendError, startKoaServer } from '../common/koa-server.js';
import { createRandom } from '../common/random.js';
import { echoBody } from './echo.js';
import { AppFaultKind } from './types.js';
import type { AppAnswer, AppOptions, AppRunEntry, AppStandin } from './types.js';
import { createAnswer, createEntry, sampleWorkTimeMs } from './work.js';
import { createWorkerPool } from './worker-pool.js';
import type { WorkerPool } from './worker-pool.js';

const DEFAULTS = { seed: 1, workers: 4, meanWorkMs: 20, timeScale: 1 } as const;
const MAX_BODY_BYTES = 16_777_216;

interface HandlerDependencies {
  pool: WorkerPool;
  faults: FaultTable<AppFaultKind>;
  journal: Journal<AppRunEntry>;
  /** Samples the work time of a request, in milliseconds of real time. */
  sampleWorkMs: (ctx: Context) => number;
}

const finishEntry = (entry: AppRunEntry, outcome: AppRunEntry['outcome']): void => {
  entry.endedAtMs = Date.now();
  entry.outcome = outcome;
};

/** Sends a JSON answer; `cutAfter` destroys the connection after that number of bytes. */
const sendAnswer = (res: ServerResponse, answer: AppAnswer, cutAfter: number | undefined): void => {
  const body = Buffer.from(JSON.stringify(answer));
  res.writeHead(200, {
    'content-type': 'application/json',
    'content-length': body.length,
    'x-request-id': answer.requestId,
  });
  if (cutAfter === undefined) res.end(body);
  else res.write(body.subarray(0, cutAfter), () => res.destroy());
};

/** Creates the handler that buffers the request body and responds with JSON. */
const createBufferedHandler = ({ pool, faults, journal, sampleWorkMs }: HandlerDependencies) => {
  let previous: AppAnswer | undefined;

  const selectAnswer = (own: AppAnswer): AppAnswer => {
    const other = previous;
    previous = own;
    if (other === undefined || other.requestId === own.requestId) return own;
    return faults.trigger(AppFaultKind.CrossedAnswers) === undefined ? own : other;
  };

  return async (ctx: Context): Promise<void> => {
    const signal = closeSignal(ctx);
    const bodyResult = await readBody(ctx.req, MAX_BODY_BYTES);
    if (!bodyResult.ok) {
      sendError(ctx, bodyResult.code === 'too-large' ? 413 : 400, bodyResult.code);
      return;
    }
    ctx.respond = false;
    if (!(await pool.acquire(signal))) return;
    const cutAfter = getCutAfter(faults.trigger(AppFaultKind.CutAnswer));
    const entry = journal.add(createEntry(ctx.req, sha256(bodyResult.body)));
    await delay(sampleWorkMs(ctx));
    pool.release();
    finishEntry(entry, cutAfter === undefined ? 'finished' : 'cut');
    await delayByFault(faults.trigger(AppFaultKind.LateAnswer));
    sendAnswer(ctx.res, selectAnswer(createAnswer(entry)), cutAfter);
  };
};

/** Creates the handler that streams the request body back. */
const createEchoHandler =
  ({ pool, faults, journal, sampleWorkMs }: HandlerDependencies) =>
  async (ctx: Context): Promise<void> => {
    ctx.respond = false;
    if (!(await pool.acquire(closeSignal(ctx)))) return;
    const entry = journal.add(createEntry(ctx.req, ''));
    await delay(sampleWorkMs(ctx));
    const cutAfter = getCutAfter(faults.trigger(AppFaultKind.CutAnswer));
    ctx.res.writeHead(200, {
      'content-type': ctx.get('content-type') || 'application/octet-stream',
      'x-request-id': entry.requestId,
    });
    try {
      entry.digest = await echoBody(ctx.req, ctx.res, cutAfter);
      finishEntry(entry, 'finished');
    } catch {
      ctx.res.destroy();
      finishEntry(entry, 'cut');
    } finally {
      pool.release();
    }
  };

/** Starts an emulated application backend server. */
export const createAppStandin = async (options: AppOptions = {}): Promise<AppStandin> => {
  const config = { ...DEFAULTS, ...options };
  const random = createRandom(config.seed);
  const pool = createWorkerPool(config.workers);
  const journal = createJournal<AppRunEntry>();
  const faults = createFaultTable<AppFaultKind>({
    random: createRandom(config.seed + 1),
    onStart: ({ kind, durationMs }) => {
      if (kind === AppFaultKind.Freeze) pool.freeze(durationMs);
    },
  });
  const sampleWorkMs = (ctx: Context) =>
    sampleWorkTimeMs(ctx.req, config.meanWorkMs, random) / config.timeScale;

  const adminRouter = new Router();
  const kinds = Object.values(AppFaultKind);
  const state = () => ({ busy: pool.busy(), waiting: pool.waiting(), faults: faults.list() });
  addAdminRoutes({ router: adminRouter, kinds, faults, journal, state });
  const dependencies = { pool, faults, journal, sampleWorkMs };
  const handleBuffered = createBufferedHandler(dependencies);
  const handleEcho = createEchoHandler(dependencies);

  const handleRequest = async (ctx: Context) => {
    if (ctx.get('x-request-id') !== '') ctx.set('x-request-id', ctx.get('x-request-id'));
    if (faults.trigger(AppFaultKind.Refuse) !== undefined) sendError(ctx, 503, 'overloaded');
    else if (ctx.get('x-standin-echo') !== '') await handleEcho(ctx);
    else await handleBuffered(ctx);
  };
  const server = await startKoaServer([routerMiddleware(adminRouter), handleRequest], options);
  faults.setPlan(options.plan ?? []);

  return {
    port: server.port,
    url: server.url,
    faults,
    journal: () => journal.after(0),
    state,
    close: async () => {
      faults.close();
      pool.close();
      await server.close();
    },
  };
};
