/** Settings of the stand-in binary. */
import { adminSection } from '@kingcupsill/runtime';
import { z } from 'zod';
import { AppFaultKind } from '../app/index.js';
import { planSchema } from '../common/faults.js';
import { EngineFaultKind } from '../engine/index.js';
import { PlatformFaultKind } from '../platform/index.js';
import { instanceSchema } from '../platform/instance-routes.js';

const number = z.number().nonnegative().optional();
const positive = z.number().positive().optional();
const count = z.number().int().positive().optional();
const chance = z.number().min(0).max(1).optional();
const flag = z.boolean().optional();

/** JSON text in a value, checked by a schema. */
const json = <T>(schema: z.ZodType<T>) =>
  z
    .string()
    .transform((text, ctx) => {
      try {
        return JSON.parse(text) as unknown;
      } catch {
        ctx.addIssue({ code: 'custom', message: 'is not JSON' });
        return z.NEVER;
      }
    })
    .pipe(schema)
    .optional();

const plan = <const Kind extends string>(kinds: readonly Kind[]) =>
  json(planSchema(kinds)).describe('JSON list of { atMs, fault }, from the start');

const names = z
  .string()
  .transform((text) => text.split(',').map((name) => name.trim()))
  .optional();

/** `[standin]`: which system to emulate and where it listens. */
const standinSection = z.strictObject({
  kind: z.enum(['platform', 'engine', 'app']).describe('system to emulate'),
  host: z.string().min(1).default('127.0.0.1').describe('address to listen on'),
  port: z
    .number()
    .int()
    .min(0)
    .max(65_535)
    .default(0)
    .describe('port to listen on; 0 takes a free one'),
  seed: z.number().int().default(1).describe('seed of fault probabilities and drawn times'),
});

/** `[platform]`, for kind `platform`. */
const platformSection = z.strictObject({
  writes_per_second: positive.describe('writes before 429'),
  reads_per_second: positive.describe('reads before 429; a watch counts once'),
  instance_lag_ms: number.describe('how late the instance list is'),
  watch_history: count.describe('changes that watches can look back'),
  weight_bytes: count.describe("size of each model's weights"),
  weight_bytes_per_second: positive.describe('total rate of the weight store'),
  instances: json(z.array(instanceSchema)).describe('JSON list of instances from the start'),
  plan: plan(Object.values(PlatformFaultKind)),
});

/** `[engine]`, for kind `engine`. */
const engineSection = z.strictObject({
  base_token_ms: number.describe('step time of an empty batch'),
  per_sequence_ms: number.describe('step time added by each sequence'),
  prefill_token_ms: number.describe('prefill time of an uncached prompt token'),
  max_batch: count.describe('sequences in the batch at once'),
  kv_tokens_total: count.describe('KV memory'),
  cache_blocks: count.describe('prompt blocks in the prefix cache'),
  block_tokens: count.describe('tokens of a prompt block'),
  models: names.describe('models loaded from the start, separated by commas'),
  time_scale: positive.describe('runs everything this many times faster'),
  tokens_per_chunk: count.describe('tokens in one SSE chunk'),
  load_lag_ms: positive.describe('greatest age of load reports'),
  cache_event_lag_ms: number.describe('delay of cache events'),
  cache_event_loss: chance.describe('chance that a cache event is lost'),
  resume_keep_ms: number.describe('how long an ended answer can be resumed'),
  cancel_on_disconnect: flag.describe('whether a closed connection cancels its request'),
  checks_fencing: flag.describe('whether orders with an old fencing number are refused'),
  model_load_ms: number.describe('time of a model load besides the fetch'),
  weight_store_url: z
    .url({ protocol: /^https?$/ })
    .optional()
    .describe('base URL of the platform service to fetch weights from'),
  plan: plan(Object.values(EngineFaultKind)),
});

/** `[app]`, for kind `app`. */
const appSection = z.strictObject({
  workers: count.describe('requests that run at once'),
  mean_work_ms: number.describe('mean work time of a request that names none'),
  time_scale: positive.describe('runs everything this many times faster'),
  plan: plan(Object.values(AppFaultKind)),
});

/** Sections and keys of the stand-ins' settings; those of the other kinds are left alone. */
export const settingsSchema = z.strictObject({
  standin: standinSection,
  platform: platformSection,
  engine: engineSection,
  app: appSection,
  admin: adminSection,
});
