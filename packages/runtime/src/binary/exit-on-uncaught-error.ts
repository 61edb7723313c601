/** End of a process whose state can't be relied on. */
import type { Logger } from '../logs/index.js';
import { ExitCode } from './types.js';

/**
 * A broken invariant may have left any state behind, so the process ends at once.
 * @param beforeExit hands over what a buffered log still holds
 */
export function exitOnUncaughtError(logger: Logger, beforeExit?: () => void): void {
  const fail = (event: string) => (err: unknown) => {
    logger.error(event, { err });
    beforeExit?.();
    process.exit(ExitCode.Internal);
  };
  process.on('uncaughtException', fail('uncaught-exception'));
  process.on('unhandledRejection', fail('unhandled-rejection'));
}
