#!/usr/bin/env node
/** Command line of the load and experiment tool. */
import { main } from '../cli/index.js';

/** Exit codes by signal; the fleet's processes are ended when this one exits. */
const EXIT_CODES = { SIGINT: 130, SIGTERM: 143 } as const;

Object.entries(EXIT_CODES).forEach(([signal, code]) => {
  process.once(signal, () => process.exit(code));
});

process.exit(await main(process.argv.slice(2)));
