/** Non-blocking output of log lines. */
import sonicBoom from 'sonic-boom';

/** Destination of log lines. */
export interface LogSink {
  write(line: string): void;
  /** Returns the number of lines dropped because the reader was too slow. */
  dropped(): number;
  /** Writes the buffered lines; called at the end of the process. */
  flush(): void;
}

/** Maximum size of the buffer for a slow reader. Lines beyond it are dropped and counted. */
const MAX_BUFFERED_BYTES = 256 * 1024;

/** Creates a sink that writes to a file descriptor. */
export function createLogSink(fd: number): LogSink {
  const out = new sonicBoom.SonicBoom({ fd, sync: false, maxLength: MAX_BUFFERED_BYTES });
  let dropped = 0;
  const countDropped = (): void => {
    dropped += 1;
  };
  out.on('drop', countDropped);
  // The process continues without a reader; the lines count as dropped.
  out.on('error', countDropped);
  return {
    write(line) {
      out.write(line);
    },
    dropped: () => dropped,
    flush() {
      out.flush();
    },
  };
}
