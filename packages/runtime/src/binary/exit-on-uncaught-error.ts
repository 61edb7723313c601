/** Exit of a process on an uncaught error. */
import type { Logger } from '../logs/index.js';
import { ExitCode } from './types.js';

/**
 * Logs uncaught exceptions and unhandled rejections and exits immediately, because a broken invariant may have left
 * inconsistent state.
 * @param beforeExit writes the remaining lines of a buffered log
 */
export function exitOnUncaughtError(logger: Logger, beforeExit?: () => void): void {
  const createHandler = (event: string) => (err: unknown) => {
    logger.error(event, { err });
    beforeExit?.();
    process.exit(ExitCode.Internal);
  };
  process.on('uncaughtException', createHandler('uncaught-exception'));
  process.on('unhandledRejection', createHandler('unhandled-rejection'));
}
