/** The `kingcupsill-edge` process: settings, logs, startup, and the signals of its whole life. */
import { randomBytes } from 'node:crypto';
import { setImmediate as nextIteration } from 'node:timers/promises';
import {
  createLogger,
  createLogSink,
  createMonotonicClock,
  ExitCode,
  exitOnUncaughtError,
  shutDownOnSignals,
} from '@kingcupsill/runtime';
import type { Logger, ReceivedSignals } from '@kingcupsill/runtime';
import { Registry } from 'prom-client';
import { coalesce } from './coalesce.js';
import { startEdge } from './edge.js';
import { createRateLimitedLogger } from './logs/rate-limited-logger.js';
import { exitIfStopped, loadFirstSettings } from './first-settings.js';
import type { SettingsSource } from './settings-source.js';

const INCARNATION_BYTES = 4;
/** Polling period of the settings file: a change without SIGHUP takes effect about as fast as a configuration change. */
const SETTINGS_CHECK_MS = 2000;

/** Shortest period of readings for signals. */
const RELOAD_PERIOD_MS = 250;

function followSettings(source: SettingsSource, logger: Logger, signals: ReceivedSignals): void {
  signals.handle(
    'SIGHUP',
    coalesce(() => source.reload(logger), RELOAD_PERIOD_MS),
  );
  setInterval(() => source.reloadIfChanged(logger), SETTINGS_CHECK_MS).unref();
}

/** Runs the router until a signal ends it. Signals that were received before are handled as well. */
export async function runEdge(signals: ReceivedSignals): Promise<void> {
  // The process must not exit when the reader of its messages closes the pipe.
  process.stderr.on('error', () => {});
  // Signals that arrived while the program was loaded are delivered in the next iteration of the event loop.
  await nextIteration();
  exitIfStopped(signals);
  const source = await loadFirstSettings(signals);
  const clock = createMonotonicClock();
  const sink = createLogSink(process.stdout);
  process.on('exit', sink.flush);
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

  exitOnUncaughtError(logger);
  logger.info('starting', { node: process.version });
  source.warnings.forEach((message) => logger.warn('settings-warning', { message }));
  const stopping = new AbortController();
  const starting = startEdge({
    settings: source.current,
    logger,
    droppedLines: sink.dropped,
    registry: new Registry(),
    clock,
    random: Math.random,
    incarnation,
    stopping: stopping.signal,
  });
  const shutdownSignals = ['SIGTERM', 'SIGINT'] as const;
  const onShutdown = (): void => stopping.abort();
  shutDownOnSignals({ starting, logger, signals, shutdownSignals, onShutdown });
  followSettings(source, logger, signals);
  starting.catch((err: unknown) => {
    logger.error('start-failed', { err });
    process.exit(ExitCode.Internal);
  });
}
