/** Dispatches the tool's commands. */
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

function help(): string {
  const scenarios = [...SCENARIOS.values()].map(
    ({ name, description }) => `  ${name.padEnd(14)} ${description}`,
  );
  return `Usage: npm run --silent bench -- COMMAND

  run SCENARIO [--seed N] [--policy fair|naive|single] [--routers N] [--seconds S] [--json]
               [--logs DIRECTORY] [--raw FILE]
                                   runs a scenario; result file in results/
  report FILE... [--out FILE]      one HTML page with charts from result files
  compare FILE...                  a table of result files

Scenarios:
${scenarios.join('\n')}
  ${'scale'.padEnd(14)} sweeps of routers and accounts; --routers N is the largest number
`;
}

/** Runs the tool; returns the exit code. */
export async function main(args: string[]): Promise<number> {
  const [name = '--help', ...rest] = args;
  if (name === '--help') {
    process.stdout.write(help());
    return 0;
  }
  const command = COMMANDS[name];
  if (command === undefined) {
    process.stderr.write(`unknown command ${name}\n${help()}`);
    return EXIT_USAGE;
  }
  return command(rest);
}
