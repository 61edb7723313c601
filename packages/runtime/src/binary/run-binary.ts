/** Entry point of a binary: arguments, settings, logs, startup, and shutdown on signals. */
import { randomBytes } from 'node:crypto';
import { collectDefaultMetrics, Registry } from 'prom-client';
import { createMonotonicClock } from '../clock/index.js';
import { createLogger, createLogSink } from '../logs/index.js';
import type { LogLevel } from '../logs/index.js';
import { describeSettings, loadSettings } from '../settings/index.js';
import type { Settings, SettingsSchema } from '../settings/index.js';
import { recordSignals } from '../signals/index.js';
import type { ReceivedSignals } from '../signals/index.js';
import { exitOnUncaughtError } from './exit-on-uncaught-error.js';
import { parseArguments } from './parse-arguments.js';
import { shutDownOnSignals } from './shut-down-on-signals.js';
import { ExitCode } from './types.js';
import type { BinaryContext, BinaryOptions } from './types.js';

const INCARNATION_BYTES = 8;
/** Sampling interval of the event loop delay metric; each sample wakes the process. */
const EVENT_LOOP_SAMPLING_MS = 100;

function helpText<TSchema extends SettingsSchema>(options: BinaryOptions<TSchema>): string {
  return [
    options.description,
    '',
    `Usage: ${options.name} [--config FILE.ini] [--help] [--version]`,
    '',
    'Each key can be overridden by the environment variable KINGCUPSILL_{SECTION}_{KEY}.',
    '',
    describeSettings(options.schema),
    '',
  ].join('\n');
}

function exitWithUsageError(name: string, message: string): never {
  process.stderr.write(`${name}: ${message}\n`);
  process.exit(ExitCode.Usage);
}

function createContext<TSchema extends SettingsSchema>(
  name: string,
  settings: Settings<TSchema>,
): BinaryContext<TSchema> {
  const processSettings = (settings as { process?: { id: string; logLevel: LogLevel } }).process;
  const incarnation = randomBytes(INCARNATION_BYTES).toString('hex');
  const sink = createLogSink(process.stdout);
  process.on('exit', sink.flush);
  const registry = new Registry();
  collectDefaultMetrics({
    register: registry,
    eventLoopMonitoringPrecision: EVENT_LOOP_SAMPLING_MS,
  });
  return {
    settings,
    logger: createLogger({
      process: name,
      id: processSettings?.id ?? name,
      incarnation,
      level: processSettings?.logLevel,
      write: sink.write,
    }),
    incarnation,
    registry,
    clock: createMonotonicClock(),
    env: process.env,
  };
}

async function start<TSchema extends SettingsSchema>(
  options: BinaryOptions<TSchema>,
  configFile: string | undefined,
  signals: ReceivedSignals,
): Promise<void> {
  const { name, version, schema } = options;
  const loaded = loadSettings({ schema, file: configFile, env: process.env });
  if (!loaded.ok) exitWithUsageError(name, loaded.message);
  const ctx = createContext<TSchema>(name, loaded.settings);
  exitOnUncaughtError(ctx.logger);
  ctx.logger.info('starting', { version });
  // Started in a microtask, so that the signal handlers are installed before `start` writes its first log line.
  const starting = Promise.resolve().then(() => options.start(ctx));
  // These binaries read their settings only once, so a SIGHUP comes from a terminal that has been closed.
  const shutdownSignals = ['SIGTERM', 'SIGINT', 'SIGHUP'] as const;
  shutDownOnSignals({ starting, logger: ctx.logger, signals, shutdownSignals });
  try {
    await starting;
  } catch (err) {
    ctx.logger.error('start-failed', { err });
    process.exit(ExitCode.Failed);
  }
}

/**
 * Runs a binary. `--help` and `--version` print and exit. Invalid arguments or settings print one line to standard error and exit
 * with 2. SIGTERM, SIGINT or SIGHUP drains, closes and exits with 0; a SIGINT while draining closes immediately and exits with 1.
 * @param signals signals recorded before this module was loaded
 */
export async function runBinary<TSchema extends SettingsSchema>(
  options: BinaryOptions<TSchema>,
  signals: ReceivedSignals = recordSignals(),
): Promise<void> {
  const args = parseArguments(process.argv.slice(2));
  switch (args.kind) {
    case 'help':
      process.stdout.write(helpText(options));
      break;
    case 'version':
      process.stdout.write(`${options.name} ${options.version}\n`);
      break;
    case 'error':
      exitWithUsageError(options.name, args.message);
      break;
    default:
      await start(options, args.configFile, signals);
  }
}
