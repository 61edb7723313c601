/** Types of binaries. */
import type { Registry } from 'prom-client';
import type { Clock } from '../clock/index.js';
import type { Logger } from '../logs/types.js';
import type { Settings, SettingsSchema } from '../settings/types.js';

/** Exit codes of all binaries. */
export const ExitCode = {
  /** Drained and closed. */
  Ok: 0,
  /** Startup failed, or a SIGINT while draining forced the exit. */
  Failed: 1,
  /** Invalid arguments or settings. */
  Usage: 2,
  /** Uncaught error, caused by a broken invariant. */
  Internal: 70,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

/** Argument of a binary's `start`. */
export interface BinaryContext<TSchema extends SettingsSchema> {
  settings: Settings<TSchema>;
  logger: Logger;
  /** Random id, new on each start of the process. */
  incarnation: string;
  /** Metrics registry, which includes the default metrics of Node. */
  registry: Registry;
  clock: Clock;
  env: Record<string, string | undefined>;
}

/** A started process. */
export interface RunningProcess {
  /** Stops accepting work. Resolves when the work in progress has completed. */
  drain(): Promise<void>;
  /** Closes all resources of the process. */
  close(): Promise<void>;
}

/** Options of `runBinary`. */
export interface BinaryOptions<TSchema extends SettingsSchema> {
  /** Name of the command. */
  name: string;
  version: string;
  /** One-line description for `--help`. */
  description: string;
  schema: TSchema;
  /** Starts the process. */
  start: (ctx: BinaryContext<TSchema>) => Promise<RunningProcess>;
}
