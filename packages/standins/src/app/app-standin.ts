/** Puts the application backend server together. */
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
import { answerOf, startEntry, workTimeMs } from './work.js';
import { createWorkerPool } from './worker-pool.js';
import type { WorkerPool } from './worker-pool.js';

const DEFAULTS = { seed: 1, workers: 4, meanWorkMs: 20, timeScale: 1 } as const;
const BODY_LIMIT_BYTES = 16_777_216;

interface AppParts {
  pool: WorkerPool;
  faults: FaultTable<AppFaultKind>;
  journal: Journal<AppRunEntry>;
  /** Draws how long a request's work takes, in real milliseconds. */
  drawWorkMs: (ctx: Context) => number;
}

const finish = (entry: AppRunEntry, outcome: AppRunEntry['outcome']): void => {
  entry.endedAtMs = Date.now();
  entry.outcome = outcome;
};

/** Sends a JSON answer, whole or up to a cut. */
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

/** Handles requests that are read whole and answered in JSON. */
const createWholeHandler = ({ pool, faults, journal, drawWorkMs }: AppParts) => {
  let previous: AppAnswer | undefined;

  const crossed = (own: AppAnswer): AppAnswer => {
    const other = previous;
    previous = own;
    if (other === undefined || other.requestId === own.requestId) return own;
    return faults.trigger(AppFaultKind.CrossedAnswers) === undefined ? own : other;
  };

  return async (ctx: Context): Promise<void> => {
    const signal = closeSignal(ctx);
    const read = await readBody(ctx.req, BODY_LIMIT_BYTES);
    if (!read.ok) {
      sendError(ctx, read.code === 'too-large' ? 413 : 400, read.code);
      return;
    }
    ctx.respond = false;
    if (!(await pool.take(signal))) return;
    const cutAfter = getCutAfter(faults.trigger(AppFaultKind.CutAnswer));
    const entry = journal.add(startEntry(ctx.req, sha256(read.body)));
    await delay(drawWorkMs(ctx));
    pool.release();
    finish(entry, cutAfter === undefined ? 'finished' : 'cut');
    await delayByFault(faults.trigger(AppFaultKind.LateAnswer));
    sendAnswer(ctx.res, crossed(answerOf(entry)), cutAfter);
  };
};

/** Handles requests whose body is sent back as it comes. */
const createEchoHandler =
  ({ pool, faults, journal, drawWorkMs }: AppParts) =>
  async (ctx: Context): Promise<void> => {
    ctx.respond = false;
    if (!(await pool.take(closeSignal(ctx)))) return;
    const entry = journal.add(startEntry(ctx.req, ''));
    await delay(drawWorkMs(ctx));
    const cutAfter = getCutAfter(faults.trigger(AppFaultKind.CutAnswer));
    ctx.res.writeHead(200, {
      'content-type': ctx.get('content-type') || 'application/octet-stream',
      'x-request-id': entry.requestId,
    });
    try {
      entry.digest = await echoBody(ctx.req, ctx.res, cutAfter);
      finish(entry, 'finished');
    } catch {
      ctx.res.destroy();
      finish(entry, 'cut');
    } finally {
      pool.release();
    }
  };

/** Starts an emulated application backend server. */
export const createAppStandin = async (options: AppOptions = {}): Promise<AppStandin> => {
  const cfg = { ...DEFAULTS, ...options };
  const random = createRandom(cfg.seed);
  const pool = createWorkerPool(cfg.workers);
  const journal = createJournal<AppRunEntry>();
  const faults = createFaultTable<AppFaultKind>({
    random: createRandom(cfg.seed + 1),
    onStart: ({ kind, durationMs }) => {
      if (kind === AppFaultKind.Freeze) pool.freeze(durationMs);
    },
  });
  const drawWorkMs = (ctx: Context) => workTimeMs(ctx.req, cfg.meanWorkMs, random) / cfg.timeScale;

  const admin = new Router();
  const kinds = Object.values(AppFaultKind);
  const state = () => ({ busy: pool.busy(), waiting: pool.waiting(), faults: faults.list() });
  addAdminRoutes({ router: admin, kinds, faults, journal, state });
  const parts = { pool, faults, journal, drawWorkMs };
  const handleWhole = createWholeHandler(parts);
  const handleEcho = createEchoHandler(parts);

  const serve = async (ctx: Context) => {
    if (ctx.get('x-request-id') !== '') ctx.set('x-request-id', ctx.get('x-request-id'));
    if (faults.trigger(AppFaultKind.Refuse) !== undefined) sendError(ctx, 503, 'overloaded');
    else if (ctx.get('x-standin-echo') !== '') await handleEcho(ctx);
    else await handleWhole(ctx);
  };
  const host = await startKoaServer([routerMiddleware(admin), serve], options);
  faults.setPlan(options.plan ?? []);

  return {
    port: host.port,
    url: host.url,
    faults,
    journal: () => journal.after(0),
    state,
    close: async () => {
      faults.close();
      pool.close();
      await host.close();
    },
  };
};
