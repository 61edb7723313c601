/** Client of the platform's instance list, which is eventually consistent. */
import { z } from 'zod';

import { createHttpClient, parseJson, toReadFailure } from './http.js';
import type { PlatformClientOptions, ReadFailure } from './types.js';

const instanceSchema = z.object({
  id: z.string().min(1),
  role: z.enum(['router', 'sidecar']),
  zone: z.string(),
  region: z.string(),
  state: z.enum(['live', 'leaving']),
  address: z.string(),
});

const instancesSchema = z.object({
  version: z.number().int().nonnegative(),
  instances: z.array(instanceSchema),
});

/** Router or sidecar process in the platform's instance list. */
export type Instance = z.infer<typeof instanceSchema>;

export type InstanceListOutcome =
  { ok: true; version: number; instances: Instance[] } | ReadFailure;

export interface InstanceClient {
  list(): Promise<InstanceListOutcome>;
}

/** Creates a client of the instance list. */
export const createInstanceClient = (options: PlatformClientOptions): InstanceClient => {
  const call = createHttpClient(options);
  return {
    list: async () => {
      const outcome = await call({ method: 'GET', path: '/v1/instances' });
      if (!outcome.ok || outcome.status !== 200) return toReadFailure(outcome);
      const parsed = instancesSchema.safeParse(parseJson(outcome.body));
      if (parsed.success) return { ok: true, ...parsed.data };
      return {
        ok: false,
        code: 'unavailable',
        message: 'the instance list is malformed',
      };
    },
  };
};
