/** Implements `bench compare FILE...`: prints a table with one column per result file. */
import { runName, summaryRows } from '../report/index.js';
import { readResult } from './output.js';

const NAME_WIDTH = 30;

/** Runs `bench compare` and returns the exit code. */
export async function compareCommand(paths: string[]): Promise<number> {
  const results = await Promise.all(paths.map(readResult));
  const columns = results.map(({ summary }) => ({
    title: runName(summary),
    values: new Map(summaryRows(summary)),
  }));
  const rowNames = [...(columns[0]?.values.keys() ?? [])];
  const formatRow = (name: string, cells: string[]) =>
    [
      name.padEnd(NAME_WIDTH),
      ...cells.map((cell, i) => cell.padStart(columns[i]?.title.length ?? 0)),
    ].join('  ');
  const lines = [
    formatRow(
      '',
      columns.map(({ title }) => title),
    ),
    ...rowNames.map((name) =>
      formatRow(
        name,
        columns.map(({ values }) => values.get(name) ?? ''),
      ),
    ),
  ];
  process.stdout.write(`${lines.join('\n')}\n`);
  return 0;
}
