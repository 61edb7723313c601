/** Non-blocking output of log lines. */
import type { Writable } from 'node:stream';

/** Destination of log lines. */
export interface LogSink {
  write(line: string): void;
  /** Returns the number of lines dropped because the reader was too slow or gone. */
  dropped(): number;
  /** Passes the collected lines to the kernel, as far as it takes them now. */
  flush(): void;
}

/** Maximum size of the buffer for a slow reader, in characters. Lines beyond it are dropped and counted. */
const MAX_BUFFERED_CHARACTERS = 256 * 1024;

/**
 * Creates a sink that writes the lines of one iteration of the event loop together.
 * @param out standard output. Writes to a pipe must not block a thread: the process couldn't exit before its reader has read them.
 */
export function createLogSink(out: Writable): LogSink {
  let lines: string[] = [];
  let collectedCharacters = 0;
  let dropped = 0;
  // The process continues without a reader. Each failed write calls back as well.
  out.on('error', () => {});

  function flush(): void {
    if (lines.length === 0) return;
    const { length } = lines;
    const text = lines.join('');
    lines = [];
    collectedCharacters = 0;
    out.write(text, (err) => {
      if (err) dropped += length;
    });
  }

  return {
    write(line) {
      if (out.writableLength + collectedCharacters + line.length > MAX_BUFFERED_CHARACTERS) {
        dropped += 1;
        return;
      }
      if (lines.length === 0) setImmediate(flush);
      lines.push(line);
      collectedCharacters += line.length;
    },
    dropped: () => dropped,
    flush,
  };
}
