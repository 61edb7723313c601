#!/usr/bin/env node
/** The `kingcupsill-edge` binary. */
import { randomBytes } from 'node:crypto';
import { SETTINGS_VARIABLE } from '@kingcupsill/prepared-platform';
import {
  createLogger,
  createMonotonicClock,
  exitOnUncaughtError,
  ExitCode,
  shutDownOnSignals,
} from '@kingcupsill/runtime';
import { Registry } from 'prom-client';
import { startEdge } from '../edge.js';
import { createBoundedLogger } from '../logs/bounded-logger.js';
import { createLogSink } from '../logs/log-sink.js';
import { openSettings } from '../settings-source.js';

const STANDARD_OUTPUT = 1;
const INCARNATION_BYTES = 4;
/** Time between looks at the settings file: a change without a signal is in force about as soon as one of the configuration. */
const SETTINGS_CHECK_MS = 2000;

const file = process.argv[2] === '--config' ? process.argv[3] : process.env[SETTINGS_VARIABLE];
const opened = openSettings(file, process.env);
if (!opened.ok) {
  process.stderr.write(`kingcupsill-edge: ${opened.message}\n`);
  process.exit(ExitCode.Usage);
}

const { source } = opened;
const clock = createMonotonicClock();
const sink = createLogSink(STANDARD_OUTPUT);
const incarnation = randomBytes(INCARNATION_BYTES).toString('hex');
const { id, logLevel } = source.current().process;
const logger = createBoundedLogger({
  logger: createLogger({
    process: 'kingcupsill-edge',
    id,
    incarnation,
    level: logLevel,
    write: sink.write,
  }),
  clock,
});

exitOnUncaughtError(logger, sink.flush);
logger.info('starting', { node: process.version });
const starting = startEdge({
  settings: source.current,
  logger,
  droppedLines: sink.dropped,
  registry: new Registry(),
  clock,
  random: Math.random,
  incarnation,
});
shutDownOnSignals(starting, logger);
process.on('SIGHUP', () => source.reload(logger));
setInterval(() => source.reloadIfChanged(logger), SETTINGS_CHECK_MS).unref();
starting.catch((err: unknown) => {
  logger.error('start-failed', { err });
  sink.flush();
  process.exit(ExitCode.Internal);
});
