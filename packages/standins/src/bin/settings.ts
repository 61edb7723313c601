/** Settings of the stand-in binary. */
import { adminSection } from '@kingcupsill/runtime';
import { z } from 'zod';
import { AppFaultKind } from '../app/index.js';
import { planSchema } from '../common/faults.js';
import { EngineFaultKind } from '../engine/index.js';
import { PlatformFaultKind } from '../platform/index.js';
import { instanceSchema } from '../platform/instance-routes.js';

const optionalNonNegative = z.number().nonnegative().optional();
const optionalPositive = z.number().positive().optional();
const optionalCount = z.number().int().positive().optional();
const optionalProbability = z.number().min(0).max(1).optional();
const optionalBoolean = z.boolean().optional();

/** Creates an optional schema of a JSON string whose parsed value matches `schema`. */
const optionalJson = <T>(schema: z.ZodType<T>) =>
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

const optionalPlan = <const Kind extends string>(kinds: readonly Kind[]) =>
  optionalJson(planSchema(kinds)).describe('JSON list of { atMs, fault }, timed from startup');

const optionalNameList = z
  .string()
  .transform((text) => text.split(',').map((name) => name.trim()))
  .optional();

/** `[standin]`: system to emulate and its listen address. */
const standinSection = z.strictObject({
  kind: z.enum(['platform', 'engine', 'app']).describe('system to emulate'),
  host: z.string().min(1).default('127.0.0.1').describe('address to listen on'),
  port: z
    .number()
    .int()
    .min(0)
    .max(65_535)
    .default(0)
    .describe('port to listen on; 0 selects a free port'),
  seed: z.number().int().default(1).describe('seed of fault probabilities and sampled times'),
});

/** `[platform]`, for kind `platform`. */
const platformSection = z.strictObject({
  writes_per_second: optionalPositive.describe(
    'maximum writes per second; further writes get status 429',
  ),
  reads_per_second: optionalPositive.describe('maximum reads per second; a watch counts once'),
  instance_lag_ms: optionalNonNegative.describe('delay of the instance list'),
  watch_history: optionalCount.describe('minimum number of changes retained for watches'),
  weight_bytes: optionalCount.describe("size of each model's weights"),
  weight_bytes_per_second: optionalPositive.describe('total transfer rate of the weight store'),
  instances: optionalJson(z.array(instanceSchema)).describe('JSON list of instances at startup'),
  plan: optionalPlan(Object.values(PlatformFaultKind)),
});

/** `[engine]`, for kind `engine`. */
const engineSection = z.strictObject({
  base_token_ms: optionalNonNegative.describe('constant part of the step time'),
  per_sequence_ms: optionalNonNegative.describe('additional step time per sequence'),
  prefill_token_ms: optionalNonNegative.describe('prefill time per uncached prompt token'),
  max_batch: optionalCount.describe('maximum number of sequences in the batch'),
  kv_tokens_total: optionalCount.describe('total KV memory, in tokens'),
  cache_blocks: optionalCount.describe('capacity of the prefix cache, in prompt blocks'),
  block_tokens: optionalCount.describe('tokens per prompt block'),
  models: optionalNameList.describe('models loaded at startup, separated by commas'),
  time_scale: optionalPositive.describe('factor by which simulated time is faster than real time'),
  tokens_per_chunk: optionalCount.describe('tokens per SSE chunk'),
  load_lag_ms: optionalPositive.describe('maximum age of load reports'),
  cache_event_lag_ms: optionalNonNegative.describe('delay of cache events'),
  cache_event_loss: optionalProbability.describe('probability that a cache event is lost'),
  resume_keep_ms: optionalNonNegative.describe('time for which an ended answer can be resumed'),
  cancel_on_disconnect: optionalBoolean.describe(
    'whether closing the connection cancels the request',
  ),
  checks_fencing: optionalBoolean.describe(
    'whether orders with an outdated fencing number are rejected',
  ),
  model_load_ms: optionalNonNegative.describe('model load time without fetching weights'),
  weight_store_url: z
    .url({ protocol: /^https?$/ })
    .optional()
    .describe('base URL of the platform service that serves model weights'),
  plan: optionalPlan(Object.values(EngineFaultKind)),
});

/** `[app]`, for kind `app`. */
const appSection = z.strictObject({
  workers: optionalCount.describe('maximum number of concurrent requests'),
  mean_work_ms: optionalNonNegative.describe(
    'mean work time of requests without x-standin-work-ms',
  ),
  time_scale: optionalPositive.describe('factor by which simulated time is faster than real time'),
  plan: optionalPlan(Object.values(AppFaultKind)),
});

/** Settings of all stand-ins. Only the section of the selected kind is used. */
export const settingsSchema = z.strictObject({
  standin: standinSection,
  platform: platformSection,
  engine: engineSection,
  app: appSection,
  admin: adminSection,
});
