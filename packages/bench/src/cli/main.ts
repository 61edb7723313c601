/** Dispatches the commands of the bench tool. */
import { getOwn } from '@kingcupsill/core/collections';
import { SCENARIOS } from '../scenarios/index.js';
import { compareCommand } from './compare-command.js';
import { reportCommand } from './report-command.js';
import { runCommand } from './run-command.js';

const EXIT_USAGE = 2;

const COMMANDS: Record<string, (args: string[]) => Promise<number>> = {
  run: runCommand,
  report: reportCommand,
  compare: compareCommand,
};

function formatHelp(): string {
  const scenarios = [...SCENARIOS.values()].map(
    ({ name, description }) => `  ${name.padEnd(14)} ${description}`,
  );
  return `Usage: npm run --silent bench -- COMMAND

  run SCENARIO [--seed N] [--policy fair|naive|single] [--routers N] [--seconds S] [--json]
               [--logs DIRECTORY] [--raw FILE]
                                   runs a scenario and writes the result to results/
  report FILE... [--out FILE]      writes an HTML page with charts of result files
  compare FILE...                  prints a table of result files

Scenarios:
${scenarios.join('\n')}
  ${'scale'.padEnd(14)} sweeps of routers and accounts; --routers N is the maximum number of routers
`;
}

/** Runs the command named by the first argument and returns the exit code. */
export async function main(args: string[]): Promise<number> {
  const [commandName = '--help', ...rest] = args;
  if (commandName === '--help') {
    process.stdout.write(formatHelp());
    return 0;
  }
  const command = getOwn(COMMANDS, commandName);
  if (command === undefined) {
    process.stderr.write(`unknown command ${commandName}\n${formatHelp()}`);
    return EXIT_USAGE;
  }
  return command(rest);
}
