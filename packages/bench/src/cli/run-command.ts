/** `bench run SCENARIO`: runs a scenario and writes its result. */
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { z } from 'zod';
import { runScale, runScenario } from '../run/index.js';
import type { RunRecords, RunResult, ScaleOptions } from '../run/index.js';
import { Policy, SCENARIOS } from '../scenarios/index.js';
import { describeResult, runName } from '../report/index.js';
import { createProgress, writeOutput } from './output.js';

const RESULTS_DIRECTORY = 'results';

/** Name of the sweep, which is several runs. */
const SCALE = 'scale';

const count = z.coerce.number().int().positive();

const optionsSchema = z.object({
  scenario: z.string().refine((name) => name === SCALE || SCENARIOS.has(name), 'unknown scenario'),
  seed: z.coerce.number().int().nonnegative().default(1),
  policy: z.enum(Policy).default(Policy.Fair),
  routers: count.optional(),
  seconds: count.optional(),
  logs: z.string().optional(),
  raw: z.string().optional(),
  json: z.boolean().default(false),
});

function readOptions(args: string[]) {
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

/** Runs the command; returns the exit code. */
export async function runCommand(args: string[]): Promise<number> {
  const options = readOptions(args);
  if (!options.success) {
    const [issue] = options.error.issues;
    process.stderr.write(`${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}\n`);
    return 2;
  }
  const { scenario: name, seed, policy, routers, seconds, logs, raw, json } = options.data;
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
  const path = join(RESULTS_DIRECTORY, `${runName(result.summary)}.json`);
  await writeOutput(path, JSON.stringify(result));
  if (raw !== undefined) await writeOutput(raw, JSON.stringify(recorded));
  const lines = json ? [JSON.stringify(result.summary)] : describeResult(result);
  process.stdout.write(`${lines.join('\n')}\n`);
  return 0;
}
