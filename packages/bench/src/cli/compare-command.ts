/** `bench compare FILE...`: a table of result files, one column each. */
import { runName, summaryRows } from '../report/index.js';
import { readResult } from './output.js';

const NAME_WIDTH = 30;

/** Runs the command; returns the exit code. */
export async function compareCommand(paths: string[]): Promise<number> {
  const results = await Promise.all(paths.map(readResult));
  const columns = results.map(({ summary }) => ({
    title: runName(summary),
    values: new Map(summaryRows(summary)),
  }));
  const names = [...(columns[0]?.values.keys() ?? [])];
  const line = (name: string, cells: string[]) =>
    [
      name.padEnd(NAME_WIDTH),
      ...cells.map((cell, i) => cell.padStart(columns[i]?.title.length ?? 0)),
    ].join('  ');
  const lines = [
    line(
      '',
      columns.map(({ title }) => title),
    ),
    ...names.map((name) =>
      line(
        name,
        columns.map(({ values }) => values.get(name) ?? ''),
      ),
    ),
  ];
  process.stdout.write(`${lines.join('\n')}\n`);
  return 0;
}
