/** Outcome of a command: data for `--json`, text lines, and an exit code. */

/** Exit codes of the command line. */
export const ExitCode = {
  Ok: 0,
  /** The operation was refused, or its target does not exist. */
  Failure: 1,
  /** Invalid arguments or settings. */
  Usage: 2,
  /** The change is based on another version than the newest one. */
  Conflict: 3,
  /** The configuration, or the result of a change, is invalid. */
  Invalid: 4,
  /** The platform or a process is unreachable, or it is unknown whether a change took effect. */
  Unavailable: 5,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

export interface CommandOutcome {
  exitCode: ExitCode;
  /** Members of the JSON object printed with `--json`, in addition to `ok`. */
  data: Record<string, unknown>;
  /** Text printed without `--json`, on standard output, or on standard error if the exit code is not 0. */
  lines: string[];
}

/** Creates the outcome of a successful command. */
export const succeed = (data: Record<string, unknown>, lines: string[]): CommandOutcome => ({
  exitCode: ExitCode.Ok,
  data,
  lines,
});

/** Creates the outcome of a failed command; scripts can rely on `code`. */
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
