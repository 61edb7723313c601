/** Admin routes common to all stand-ins. */
import { getOwn } from '@kingcupsill/core/collections';
import type Router from '@koa/router';
import type { Context } from 'koa';
import type { z } from 'zod';
import { readBody } from './body.js';
import { faultSchema, planSchema } from './faults.js';
import type { FaultTable } from './types.js';
import type { Journal } from './journal.js';

const MAX_ADMIN_BODY_BYTES = 1_000_000;

/** Parses and validates a JSON body. Responds with status 400 and returns undefined if it is invalid. */
export const readJsonBody = async <T>(
  ctx: Context,
  schema: z.ZodType<T>,
): Promise<T | undefined> => {
  const bodyResult = await readBody(ctx.req, MAX_ADMIN_BODY_BYTES);
  const reject = (message: string) => {
    ctx.status = 400;
    ctx.body = { error: { code: 'bad_request', message } };
  };
  if (!bodyResult.ok) {
    reject(`body is ${bodyResult.code}`);
    return undefined;
  }
  try {
    const parsed = schema.safeParse(JSON.parse(bodyResult.body.toString('utf8')));
    if (parsed.success) return parsed.data;
    reject(
      parsed.error.issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`).join('; '),
    );
  } catch {
    reject('body is not JSON');
  }
  return undefined;
};

/** Returns a nonnegative integer query parameter, or `fallback` if it is absent or invalid. */
export const parseQueryInteger = (ctx: Context, name: string, fallback: number): number => {
  const text = getOwn(ctx.query, name);
  const value = typeof text === 'string' && text !== '' ? Number(text) : fallback;
  return Number.isSafeInteger(value) && value >= 0 ? value : fallback;
};

export interface AdminRoutesOptions<Kind extends string, Entry extends object> {
  router: Router;
  kinds: readonly Kind[];
  faults: FaultTable<Kind>;
  journal: Journal<Entry>;
  /** Returns the current state for the state dump. */
  state: () => object;
}

/** Registers the admin routes for faults, plan, journal and state. */
export const addAdminRoutes = <const Kind extends string, Entry extends object>({
  router,
  kinds,
  faults,
  journal,
  state,
}: AdminRoutesOptions<Kind, Entry>): void => {
  const faultBodySchema = faultSchema(kinds);
  const planBodySchema = planSchema(kinds);

  router.get('/admin/faults', (ctx) => {
    ctx.body = { faults: faults.list() };
  });
  router.post('/admin/faults', async (ctx) => {
    const fault = await readJsonBody(ctx, faultBodySchema);
    if (fault === undefined) return;
    faults.add(fault);
    ctx.status = 204;
  });
  router.delete('/admin/faults', (ctx) => {
    faults.clear();
    ctx.status = 204;
  });
  router.post('/admin/plan', async (ctx) => {
    const plan = await readJsonBody(ctx, planBodySchema);
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
