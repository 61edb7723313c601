/** HTTP routes of the instance list. */
import type Router from '@koa/router';
import { z } from 'zod';
import { readJsonBody } from '../common/admin-routes.js';
import type { InstanceList } from './instance-list.js';

/** Schema of an instance in the instance list. */
export const instanceSchema = z.strictObject({
  id: z.string().min(1),
  role: z.enum(['router', 'sidecar']),
  zone: z.string(),
  region: z.string(),
  state: z.enum(['live', 'leaving']),
  address: z.string(),
});

/** Schema of a request body; the id in the path overrides one in the body. */
const instanceBodySchema = instanceSchema.partial({ id: true });

/** Registers the route that returns the visible instances. */
export const addInstanceRoutes = (router: Router, instances: InstanceList): void => {
  router.get('/v1/instances', (ctx) => {
    ctx.body = instances.view(performance.now());
  });
};

/** Registers the admin routes that change the list. */
export const addInstanceAdminRoutes = (router: Router, instances: InstanceList): void => {
  router.put('/admin/instances/:id', async (ctx) => {
    const instance = await readJsonBody(ctx, instanceBodySchema);
    if (instance === undefined) return;
    instances.put({ ...instance, id: ctx.params.id ?? '' }, performance.now());
    ctx.status = 204;
  });
  router.delete('/admin/instances/:id', (ctx) => {
    instances.remove(ctx.params.id ?? '', performance.now());
    ctx.status = 204;
  });
};
