/** Types of a binary. */
import type { Registry } from 'prom-client';
import type { Clock } from '../clock/index.js';
import type { Logger } from '../logs/types.js';
import type { Settings, SettingsSchema } from '../settings/types.js';

/** Exit codes of all binaries. */
export const ExitCode = {
  /** Drained and closed. */
  Ok: 0,
  /** Could not start, or was stopped by a second signal. */
  Failed: 1,
  /** Wrong arguments or settings. */
  Usage: 2,
  /** A broken invariant. */
  Internal: 70,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

/** What a binary's `start` is given. */
export interface BinaryContext<TSchema extends SettingsSchema> {
  settings: Settings<TSchema>;
  logger: Logger;
  /** Random id of this run of the process. */
  incarnation: string;
  /** Metrics of the process, Node's own included. */
  registry: Registry;
  clock: Clock;
  env: Record<string, string | undefined>;
}

/** A started process. */
export interface RunningProcess {
  /** Takes no new work and resolves when the work in hand is done. */
  drain(): Promise<void>;
  /** Closes all that was opened. */
  close(): Promise<void>;
}

/** A binary. */
export interface BinaryOptions<TSchema extends SettingsSchema> {
  /** Name of the command. */
  name: string;
  version: string;
  /** One line for `--help`. */
  description: string;
  schema: TSchema;
  start: (ctx: BinaryContext<TSchema>) => Promise<RunningProcess>;
}
