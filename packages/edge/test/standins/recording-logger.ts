/** Logger that records its lines in memory. */
import type { Logger } from '@kingcupsill/runtime';

/** Recorded log line. */
export interface LoggedLine {
  event: string;
  fields: Record<string, unknown>;
}

/** Creates a logger that appends to `lines`. */
export function createRecordingLogger(lines: LoggedLine[] = []): Logger {
  const write = (event: string, fields: Record<string, unknown> = {}) => {
    lines.push({ event, fields });
  };
  return {
    trace: write,
    debug: write,
    info: write,
    warn: write,
    error: write,
    level: () => 'info',
    setLevel: () => undefined,
  };
}
