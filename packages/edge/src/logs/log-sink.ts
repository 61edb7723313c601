/** Writes log lines without ever waiting for their reader. */
import sonicBoom from 'sonic-boom';

/** Where log lines go. */
export interface LogSink {
  write(line: string): void;
  /** Lines that were dropped since the reader was too slow. */
  dropped(): number;
  /** Hands over what is held, at the end of the process. */
  flush(): void;
}

/** Bytes held for a slow reader; what comes beyond is dropped and counted. */
const MOST_HELD_BYTES = 256 * 1024;

/** Creates a sink on a file descriptor. */
export function createLogSink(fd: number): LogSink {
  const out = new sonicBoom.SonicBoom({ fd, sync: false, maxLength: MOST_HELD_BYTES });
  let dropped = 0;
  const count = (): void => {
    dropped += 1;
  };
  out.on('drop', count);
  // A reader that has gone is no reason to end; its lines count as dropped.
  out.on('error', count);
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
