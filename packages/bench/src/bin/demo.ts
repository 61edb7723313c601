#!/usr/bin/env node
/** Starts a small fleet, sends requests through it and shows the answers. */
import { parseArgs } from 'node:util';
import { sendDemoRequests, describeFleet, startDemoFleet } from '../demo/index.js';

const EXIT_WRONG_ANSWER = 1;
const EXIT_USAGE = 2;

const HELP = `Usage: npm run demo -- [--once]

Starts a platform stand-in, 2 engine stand-ins, 1 application stand-in, a sidecar beside each and
3 routers in 3 zones, sends requests through each router and checks the answers.

  --once  ends afterwards; exit code 0 when every answer was right, else 1
`;

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function waitForSignal(): Promise<void> {
  return new Promise((resolve) => {
    process.once('SIGINT', () => resolve());
    process.once('SIGTERM', () => resolve());
  });
}

async function run(once: boolean): Promise<number> {
  const interrupted = waitForSignal();
  const fleet = await startDemoFleet();
  try {
    const isRight = await sendDemoRequests(fleet, print);
    if (!once) {
      describeFleet(fleet).forEach(print);
      print('Ctrl-C ends it.');
      await interrupted;
    }
    return isRight ? 0 : EXIT_WRONG_ANSWER;
  } finally {
    await fleet.close();
  }
}

function readOptions() {
  try {
    return parseArgs({ options: { once: { type: 'boolean' }, help: { type: 'boolean' } } }).values;
  } catch (err) {
    process.stderr.write(`${(err as Error).message}\n`);
    return undefined;
  }
}

const options = readOptions();
if (options === undefined) process.exit(EXIT_USAGE);
if (options.help) {
  process.stdout.write(HELP);
  process.exit(0);
}
process.exit(await run(options.once ?? false));
