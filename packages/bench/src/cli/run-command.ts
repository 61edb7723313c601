/** Implements `bench run SCENARIO`: runs a scenario, writes the result file and prints the figures. */
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { z } from 'zod';
import { runScale, runScenario } from '../run/index.js';
import type { RunRecords, RunResult, ScaleOptions } from '../run/index.js';
import { Policy, SCENARIOS } from '../scenarios/index.js';
import { describeResult, runName } from '../report/index.js';
import { createProgress, writeOutput } from './output.js';

const RESULTS_DIRECTORY = 'results';

/** Name of the sweep over fleet sizes, which consists of several runs and is not in `SCENARIOS`. */
const SCALE_SCENARIO = 'scale';

const positiveInteger = z.coerce.number().int().positive();

const optionsSchema = z.object({
  scenario: z
    .string()
    .refine((name) => name === SCALE_SCENARIO || SCENARIOS.has(name), 'unknown scenario'),
  seed: z.coerce.number().int().nonnegative().default(1),
  policy: z.enum(Policy).default(Policy.Fair),
  routers: positiveInteger.optional(),
  seconds: positiveInteger.optional(),
  logs: z.string().optional(),
  raw: z.string().optional(),
  json: z.boolean().default(false),
});

function parseOptions(args: string[]) {
  const { values, positionals } = parseArgs({
    args,
    allowPositionals: true,
    options: {
      seed: { type: 'string' },
      policy: { type: 'string' },
      routers: { type: 'string' },
      seconds: { type: 'string' },
      logs: { type: 'string' },
      raw: { type: 'string' },
      json: { type: 'boolean' },
    },
  });
  return optionsSchema.safeParse({ ...values, scenario: positionals[0] });
}

function runByName(name: string, options: ScaleOptions): Promise<RunResult> {
  const scenario = SCENARIOS.get(name);
  return scenario === undefined ? runScale(options) : runScenario({ ...options, scenario });
}

/** Runs `bench run` and returns the exit code. */
export async function runCommand(args: string[]): Promise<number> {
  const parsed = parseOptions(args);
  if (!parsed.success) {
    const [issue] = parsed.error.issues;
    process.stderr.write(`${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}\n`);
    return 2;
  }
  const { scenario: name, seed, policy, routers, seconds, logs, raw, json } = parsed.data;
  let recorded: RunRecords | undefined;
  const progress = createProgress(`${name} ${policy}`);
  const result = await runByName(name, {
    seed,
    policy,
    routers,
    seconds,
    logDirectory: logs,
    onProgress: progress.show,
    onRecorded: (records) => {
      recorded = records;
    },
  });
  progress.end();
  const resultPath = join(RESULTS_DIRECTORY, `${runName(result.summary)}.json`);
  await writeOutput(resultPath, JSON.stringify(result));
  if (raw !== undefined) await writeOutput(raw, JSON.stringify(recorded));
  const lines = json ? [JSON.stringify(result.summary)] : describeResult(result);
  process.stdout.write(`${lines.join('\n')}\n`);
  return 0;
}
