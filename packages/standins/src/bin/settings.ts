import { readFile } from 'node:fs/promises';
import { z } from 'zod';
import { planSchema } from '../common/faults.js';
import { AppFaultKind } from '../app/index.js';
import { EngineFaultKind } from '../engine/index.js';
import { PlatformFaultKind } from '../platform/index.js';
import { instanceSchema } from '../platform/instance-routes.js';
import { parseIni } from './ini.js';

const number = z.coerce.number().nonnegative();
const positive = z.coerce.number().positive();
const count = z.coerce.number().int().positive();
const chance = z.coerce.number().min(0).max(1);
const flag = z.enum(['true', 'false']).transform((text) => text === 'true');
const list = z.string().transform((text) => text.split(',').map((one) => one.trim()));

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
    .pipe(schema);

/** Sections and keys of the stand-ins' settings. */
export const settingsSchema = z.strictObject({
  standin: z.strictObject({
    kind: z.enum(['platform', 'engine', 'app']),
    host: z.string().default('127.0.0.1'),
    port: z.coerce.number().int().min(0).max(65_535).default(0),
    seed: z.coerce.number().int().default(1),
  }),
  platform: z
    .strictObject({
      writes_per_second: positive,
      reads_per_second: positive,
      instance_lag_ms: number,
      watch_history: count,
      weight_bytes: count,
      weight_bytes_per_second: positive,
      instances: json(z.array(instanceSchema)),
      plan: json(planSchema(Object.values(PlatformFaultKind))),
    })
    .partial()
    .default({}),
  engine: z
    .strictObject({
      base_token_ms: number,
      per_sequence_ms: number,
      prefill_token_ms: number,
      max_batch: count,
      kv_tokens_total: count,
      cache_blocks: count,
      block_tokens: count,
      models: list,
      time_scale: positive,
      tokens_per_chunk: count,
      load_lag_ms: positive,
      cache_event_lag_ms: number,
      cache_event_loss: chance,
      resume_keep_ms: number,
      cancel_on_disconnect: flag,
      checks_fencing: flag,
      model_load_ms: number,
      weight_store_url: z.string(),
      plan: json(planSchema(Object.values(EngineFaultKind))),
    })
    .partial()
    .default({}),
  app: z
    .strictObject({
      workers: count,
      mean_work_ms: number,
      time_scale: positive,
      plan: json(planSchema(Object.values(AppFaultKind))),
    })
    .partial()
    .default({}),
});

export type StandinSettings = z.infer<typeof settingsSchema>;
export type SettingsOutcome =
  { ok: true; settings: StandinSettings } | { ok: false; message: string };

const ENV_KEY = /^KINGCUPSILL_(STANDIN|PLATFORM|ENGINE|APP)_(.+)$/;

const readIni = async (path: string) => {
  try {
    return parseIni(await readFile(path, 'utf8'));
  } catch (err) {
    return { ok: false as const, message: (err as Error).message };
  }
};

/** Reads settings from an INI file; environment variables `KINGCUPSILL_{SECTION}_{KEY}` go before it. */
export const loadStandinSettings = async (
  path: string,
  env: NodeJS.ProcessEnv,
): Promise<SettingsOutcome> => {
  const read = await readIni(path);
  if (!read.ok) return { ok: false, message: `${path}: ${read.message}` };
  const { file } = read;
  Object.entries(env).forEach(([name, value]) => {
    const [, section, key] = ENV_KEY.exec(name)?.map((part) => part.toLowerCase()) ?? [];
    if (section !== undefined && key !== undefined && value !== undefined) {
      file[section] = { ...file[section], [key]: value };
    }
  });
  const parsed = settingsSchema.safeParse(file);
  if (parsed.success) return { ok: true, settings: parsed.data };
  const issue = parsed.error.issues[0];
  const [section = '', key = ''] = issue?.path.map(String) ?? [];
  return { ok: false, message: `${path}: [${section}] ${key}: ${issue?.message ?? 'invalid'}` };
};
