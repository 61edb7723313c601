/** Shutdown of a process on SIGTERM and SIGINT. */
import type { Logger } from '../logs/index.js';
import { ExitCode } from './types.js';
import type { RunningProcess } from './types.js';

/** How long a forced close may take before the process exits without it. */
const FORCED_CLOSE_TIMEOUT_MS = 2000;

/** Installs the handlers; a signal during the start waits for its end. */
export function shutDownOnSignals(starting: Promise<RunningProcess>, logger: Logger): void {
  let signals = 0;

  async function drainAndExit(): Promise<void> {
    const running = await starting;
    await running.drain();
    logger.info('drained');
    await running.close();
    logger.info('closed');
    process.exit(ExitCode.Ok);
  }

  async function closeAndExit(): Promise<void> {
    setTimeout(() => process.exit(ExitCode.Failed), FORCED_CLOSE_TIMEOUT_MS);
    const running = await starting;
    await running.close();
    process.exit(ExitCode.Failed);
  }

  function onSignal(signal: NodeJS.Signals): void {
    signals += 1;
    if (signals === 1) {
      logger.info('draining', { signal });
      void drainAndExit();
    } else if (signals === 2) {
      logger.warn('forced-close', { signal });
      void closeAndExit();
    }
  }

  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
}
