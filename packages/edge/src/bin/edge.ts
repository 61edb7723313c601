#!/usr/bin/env node
/** The `kingcupsill-edge` binary. */
import { SETTINGS_VARIABLE } from '@kingcupsill/prepared-platform';
import {
  createLogger,
  createMonotonicClock,
  ExitCode,
  loadSettings,
  shutDownOnSignals,
} from '@kingcupsill/runtime';
import { Registry } from 'prom-client';
import { startEdge } from '../edge.js';
import { createBoundedLogger } from '../logs/bounded-logger.js';
import { createLogSink } from '../logs/log-sink.js';
import { edgeSchema } from '../settings.js';

const STANDARD_OUTPUT = 1;

const file = process.argv[2] === '--config' ? process.argv[3] : process.env[SETTINGS_VARIABLE];
const loaded = loadSettings({ schema: edgeSchema, file, env: process.env });
if (!loaded.ok) {
  process.stderr.write(`kingcupsill-edge: ${loaded.message}\n`);
  process.exit(ExitCode.Usage);
}

const { settings } = loaded;
const nowMs = createMonotonicClock();
const sink = createLogSink(STANDARD_OUTPUT);
const logger = createBoundedLogger({
  logger: createLogger({
    process: 'kingcupsill-edge',
    id: settings.process.id,
    incarnation: String(process.pid),
    level: settings.process.logLevel,
    write: sink.write,
  }),
  nowMs,
});

const fail = (event: string) => (err: unknown) => {
  logger.error(event, { err });
  process.stderr.write(`${event}: ${err instanceof Error ? err.stack : String(err)}\n`);
  process.exit(ExitCode.Internal);
};
process.on('uncaughtException', fail('uncaught-exception'));
process.on('unhandledRejection', fail('unhandled-rejection'));

logger.info('starting', { node: process.version });
const starting = startEdge({ settings, logger, registry: new Registry(), nowMs });
shutDownOnSignals(starting, logger);
process.on('SIGHUP', () => logger.info('settings-reload-asked'));
starting.catch(fail('start-failed'));
