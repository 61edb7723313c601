/** Exit of a process on an uncaught error. */
import type { Logger } from '../logs/index.js';
import { ExitCode } from './types.js';

/**
 * Logs uncaught exceptions and unhandled rejections and exits immediately, because a broken invariant may have left
 * inconsistent state.
 */
export function exitOnUncaughtError(logger: Logger): void {
  const createHandler = (event: string) => (err: unknown) => {
    logger.error(event, { err });
    process.exit(ExitCode.Internal);
  };
  process.on('uncaughtException', createHandler('uncaught-exception'));
  process.on('unhandledRejection', createHandler('unhandled-rejection'));
}
