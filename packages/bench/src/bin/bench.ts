#!/usr/bin/env node
/** Command line of the load and experiment tool. */
import { main } from '../cli/index.js';

process.exit(await main(process.argv.slice(2)));
