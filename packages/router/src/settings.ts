/** Settings of the router. */
import { adminSection, linkSection, platformSection, processSection } from '@kingcupsill/runtime';
import type { Settings } from '@kingcupsill/runtime';
import { z } from 'zod';

/** Schema of the INI settings of `kingcupsill-router`. */
export const routerSchema = z.strictObject({
  process: processSection,
  callers: z.strictObject({
    host: z
      .string()
      .min(1)
      .default('127.0.0.1')
      .describe('address on which callers reach the router'),
    port: z.number().int().min(0).max(65535).default(0).describe('0 selects a free port'),
    max_body_bytes: z
      .number()
      .int()
      .positive()
      .default(4 * 1024 * 1024)
      .describe('maximum size of a request body, in bytes'),
  }),
  link: linkSection,
  admin: adminSection,
  platform: platformSection,
  fairness: z.strictObject({
    policy: z
      .enum(['fair', 'naive'])
      .default('fair')
      .describe('naive is a baseline for benchmarks'),
    exchange_period_ms: z
      .number()
      .int()
      .positive()
      .default(500)
      .describe('interval at which routers exchange service totals, in milliseconds'),
    demand_period_ms: z
      .number()
      .int()
      .positive()
      .default(1000)
      .describe('interval at which demand is resent to sidecars, in milliseconds'),
  }),
  shutdown: z.strictObject({
    drain_deadline_ms: z
      .number()
      .int()
      .positive()
      .default(60_000)
      .describe('maximum wait for open requests at shutdown, in milliseconds'),
  }),
});

/** Parsed settings of the router. */
export type RouterSettings = Settings<typeof routerSchema>;
