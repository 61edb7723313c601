/** Implements `bench report FILE...`: writes a self-contained HTML page with charts. */
import { parseArgs } from 'node:util';
import { renderReport } from '../report/index.js';
import { readResult, writeOutput } from './output.js';

const DEFAULT_REPORT_PATH = 'results/report.html';

/** Runs `bench report` and returns the exit code. */
export async function reportCommand(args: string[]): Promise<number> {
  const { values, positionals } = parseArgs({
    args,
    allowPositionals: true,
    options: { out: { type: 'string', default: DEFAULT_REPORT_PATH } },
  });
  const results = await Promise.all(positionals.map(readResult));
  await writeOutput(values.out, renderReport(results));
  process.stdout.write(`${values.out}\n`);
  return 0;
}
