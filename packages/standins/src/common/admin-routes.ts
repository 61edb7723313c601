/** Admin calls that all stand-ins share. */
import type Router from '@koa/router';
import type { Context } from 'koa';
import type { z } from 'zod';
import { readBody } from './body.js';
import { faultSchema, planSchema } from './faults.js';
import type { FaultTable } from './types.js';
import type { Journal } from './journal.js';

const ADMIN_BODY_LIMIT_BYTES = 1_000_000;

/** Reads and checks a JSON body; answers 400 itself and returns undefined when it doesn't fit. */
export const readJsonBody = async <T>(
  ctx: Context,
  schema: z.ZodType<T>,
): Promise<T | undefined> => {
  const read = await readBody(ctx.req, ADMIN_BODY_LIMIT_BYTES);
  const reject = (message: string) => {
    ctx.status = 400;
    ctx.body = { error: { code: 'bad_request', message } };
  };
  if (!read.ok) {
    reject(`body is ${read.code}`);
    return undefined;
  }
  try {
    const parsed = schema.safeParse(JSON.parse(read.body.toString('utf8')));
    if (parsed.success) return parsed.data;
    reject(parsed.error.issues.map((one) => `${one.path.join('.')}: ${one.message}`).join('; '));
  } catch {
    reject('body is not JSON');
  }
  return undefined;
};

/** A whole number from the query, or `fallback`. */
export const parseQueryInteger = (ctx: Context, name: string, fallback: number): number => {
  const text = ctx.query[name];
  const value = typeof text === 'string' && text !== '' ? Number(text) : fallback;
  return Number.isSafeInteger(value) && value >= 0 ? value : fallback;
};

export interface AdminRoutesOptions<Kind extends string, Entry extends object> {
  router: Router;
  kinds: readonly Kind[];
  faults: FaultTable<Kind>;
  journal: Journal<Entry>;
  /** What the stand-in holds now, for a dump. */
  state: () => object;
}

/** Adds the admin calls that every stand-in has: faults, plan, journal and state. */
export const addAdminRoutes = <const Kind extends string, Entry extends object>({
  router,
  kinds,
  faults,
  journal,
  state,
}: AdminRoutesOptions<Kind, Entry>): void => {
  const oneFault = faultSchema(kinds);
  const onePlan = planSchema(kinds);

  router.get('/admin/faults', (ctx) => {
    ctx.body = { faults: faults.list() };
  });
  router.post('/admin/faults', async (ctx) => {
    const fault = await readJsonBody(ctx, oneFault);
    if (fault === undefined) return;
    faults.add(fault);
    ctx.status = 204;
  });
  router.delete('/admin/faults', (ctx) => {
    faults.clear();
    ctx.status = 204;
  });
  router.post('/admin/plan', async (ctx) => {
    const plan = await readJsonBody(ctx, onePlan);
    if (plan === undefined) return;
    faults.setPlan(plan);
    ctx.status = 204;
  });
  router.get('/admin/state', (ctx) => {
    ctx.body = state();
  });
  router.get('/admin/journal', (ctx) => {
    ctx.body = { entries: journal.after(parseQueryInteger(ctx, 'after', 0)) };
  });
};
