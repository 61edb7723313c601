/** Settings of the router. */
import { adminSection, linkSection, platformSection, processSection } from '@kingcupsill/runtime';
import type { Settings } from '@kingcupsill/runtime';
import { z } from 'zod';

/** INI schema of `kingcupsill-router`. */
export const routerSchema = z.strictObject({
  process: processSection,
  callers: z.strictObject({
    host: z.string().min(1).default('127.0.0.1').describe('address for callers'),
    port: z.number().int().min(0).max(65535).default(0).describe('0 takes a free port'),
    max_body_bytes: z
      .number()
      .int()
      .positive()
      .default(4 * 1024 * 1024)
      .describe('largest request body, in bytes'),
  }),
  link: linkSection,
  admin: adminSection,
  platform: platformSection,
  fairness: z.strictObject({
    policy: z.enum(['fair', 'naive']).default('fair').describe('naive is a measurement baseline'),
    exchange_period_ms: z
      .number()
      .int()
      .positive()
      .default(500)
      .describe('period of the exchange of service totals between routers'),
    demand_period_ms: z
      .number()
      .int()
      .positive()
      .default(1000)
      .describe('period of demand refreshes to sidecars'),
  }),
  shutdown: z.strictObject({
    drain_deadline_ms: z
      .number()
      .int()
      .positive()
      .default(60_000)
      .describe('longest wait for requests in hand at shutdown'),
  }),
});

/** Settings of the router as the process reads them. */
export type RouterSettings = Settings<typeof routerSchema>;
