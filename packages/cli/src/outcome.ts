/** What a command leads to: data for `--json`, lines for people, and an exit code. */

/** Exit codes of the command line. */
export const ExitCode = {
  Ok: 0,
  /** Refused, or the thing named does not exist. */
  Failure: 1,
  /** Wrong arguments or settings. */
  Usage: 2,
  /** The configuration has another version than the one the change was made against. */
  Conflict: 3,
  /** The configuration, or the result of a change, is not valid. */
  Invalid: 4,
  /** The platform or a process could not be reached, or it is not known whether a change took effect. */
  Unavailable: 5,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

export interface CommandOutcome {
  exitCode: ExitCode;
  /** Printed by `--json`, with `ok` beside it. */
  data: Record<string, unknown>;
  /** Printed otherwise: on standard output, or standard error when the exit code is not 0. */
  lines: string[];
}

/** Outcome of a command that did what it was asked. */
export const succeed = (data: Record<string, unknown>, lines: string[]): CommandOutcome => ({
  exitCode: ExitCode.Ok,
  data,
  lines,
});

/** Outcome of a command that did not; `code` is stable, for scripts. */
export const fail = (
  exitCode: ExitCode,
  code: string,
  message: string,
  details: { data?: Record<string, unknown>; lines?: string[] } = {},
): CommandOutcome => ({
  exitCode,
  data: { code, message, ...details.data },
  lines: [message, ...(details.lines ?? [])],
});
