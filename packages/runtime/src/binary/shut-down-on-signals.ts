/** Shutdown of a process on SIGTERM and SIGINT. */
import type { Logger } from '../logs/index.js';
import type { ReceivedSignals } from '../signals/index.js';
import { ExitCode } from './types.js';
import type { RunningProcess } from './types.js';

/** Maximum duration of a forced close; the process exits after it regardless. */
const FORCED_CLOSE_TIMEOUT_MS = 2000;

/** Installs signal handlers: the first signal drains and closes, the second closes immediately. Both wait until `starting` resolves. */
export function shutDownOnSignals(
  starting: Promise<RunningProcess>,
  logger: Logger,
  signals: ReceivedSignals,
): void {
  let signalCount = 0;

  async function drainAndExit(): Promise<void> {
    const running = await starting;
    await running.drain();
    logger.info('drained');
    await running.close();
    logger.info('closed');
    process.exit(ExitCode.Ok);
  }

  async function forceClose(): Promise<void> {
    setTimeout(() => process.exit(ExitCode.Failed), FORCED_CLOSE_TIMEOUT_MS);
    const running = await starting;
    await running.close();
    process.exit(ExitCode.Failed);
  }

  function onSignal(signal: NodeJS.Signals): void {
    signalCount += 1;
    if (signalCount === 1) {
      logger.info('draining', { signal });
      void drainAndExit();
    } else if (signalCount === 2) {
      logger.warn('forced-close', { signal });
      void forceClose();
    }
  }

  signals.handle('SIGTERM', onSignal);
  signals.handle('SIGINT', onSignal);
}
