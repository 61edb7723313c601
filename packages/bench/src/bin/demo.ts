#!/usr/bin/env node
/** Starts the demo fleet, sends requests through it and prints the answers. */
import { parseArgs } from 'node:util';
import { sendDemoRequests, describeFleet, startDemoFleet } from '../demo/index.js';

const EXIT_WRONG_ANSWER = 1;
const EXIT_USAGE = 2;

const HELP = `Usage: npm run demo -- [--once]

Starts a platform stand-in, 2 engine stand-ins, 1 application stand-in, a sidecar for each backend
server and 3 routers in 3 zones, sends requests through each router and checks the answers.

  --once  exits after the check: code 0 if every answer was right, otherwise 1
`;

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function waitForTermination(): Promise<void> {
  return new Promise((resolve) => {
    process.once('SIGINT', () => resolve());
    process.once('SIGTERM', () => resolve());
  });
}

async function run(once: boolean): Promise<number> {
  const termination = waitForTermination();
  const fleet = await startDemoFleet();
  try {
    const areAllRight = await sendDemoRequests(fleet, print);
    if (!once) {
      describeFleet(fleet).forEach(print);
      print('Press Ctrl-C to stop.');
      await termination;
    }
    return areAllRight ? 0 : EXIT_WRONG_ANSWER;
  } finally {
    await fleet.close();
  }
}

function parseOptions() {
  try {
    return parseArgs({ options: { once: { type: 'boolean' }, help: { type: 'boolean' } } }).values;
  } catch (err) {
    process.stderr.write(`${(err as Error).message}\n`);
    return undefined;
  }
}

const options = parseOptions();
if (options === undefined) process.exit(EXIT_USAGE);
if (options.help) {
  process.stdout.write(HELP);
  process.exit(0);
}
process.exit(await run(options.once ?? false));
