#!/usr/bin/env node
/** Entry point of the load and experiment tool. */
import { main } from '../cli/index.js';

/** Exit code by signal; the exit of this process kills the processes of the fleet. */
const EXIT_CODES = { SIGINT: 130, SIGTERM: 143 } as const;

Object.entries(EXIT_CODES).forEach(([signal, code]) => {
  process.once(signal, () => process.exit(code));
});

process.exit(await main(process.argv.slice(2)));
