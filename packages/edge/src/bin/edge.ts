#!/usr/bin/env node
/** Entry point of the `kingcupsill-edge` binary. */
import { randomBytes } from 'node:crypto';
import { SETTINGS_VARIABLE } from '@kingcupsill/prepared-platform';
import {
  createLogger,
  createMonotonicClock,
  ExitCode,
  exitOnBrokenInvariant,
  shutDownOnSignals,
} from '@kingcupsill/runtime';
import { Registry } from 'prom-client';
import { startEdge } from '../edge.js';
import { createLogSink } from '../logs/log-sink.js';
import { createRateLimitedLogger } from '../logs/rate-limited-logger.js';
import { openSettings } from '../settings-source.js';

const STANDARD_OUTPUT = 1;
const INCARNATION_BYTES = 4;
/** Polling period of the settings file: a change without SIGHUP takes effect about as fast as a configuration change. */
const SETTINGS_CHECK_MS = 2000;

const file = process.argv[2] === '--config' ? process.argv[3] : process.env[SETTINGS_VARIABLE];
const settingsResult = openSettings(file, process.env);
if (!settingsResult.ok) {
  process.stderr.write(`kingcupsill-edge: ${settingsResult.message}\n`);
  process.exit(ExitCode.Usage);
}

const { source } = settingsResult;
const clock = createMonotonicClock();
const sink = createLogSink(STANDARD_OUTPUT);
const incarnation = randomBytes(INCARNATION_BYTES).toString('hex');
const { id, logLevel } = source.current().process;
const logger = createRateLimitedLogger({
  logger: createLogger({
    process: 'kingcupsill-edge',
    id,
    incarnation,
    level: logLevel,
    write: sink.write,
  }),
  clock,
});

exitOnBrokenInvariant(logger, sink.flush);
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
