/** Shutdown of a process on signals. */
import type { Logger } from '../logs/index.js';
import type { HandledSignal, ReceivedSignals } from '../signals/index.js';
import { ExitCode } from './types.js';
import type { RunningProcess } from './types.js';

/** Maximum duration of a forced close; the process exits after it regardless. */
const FORCED_CLOSE_TIMEOUT_MS = 2000;

/** Options of `shutDownOnSignals`. */
export interface ShutdownOptions {
  starting: Promise<RunningProcess>;
  logger: Logger;
  signals: ReceivedSignals;
  /** Signals that start the shutdown. */
  shutdownSignals: readonly HandledSignal[];
  /** Called at the first signal, also while the process is still starting. */
  onShutdown?: () => void;
}

/**
 * Installs signal handlers: the first signal drains and closes. A SIGINT after it, which an operator sends, closes immediately; other
 * signals are ignored then, since a supervisor may repeat them. Both wait until `starting` resolves.
 */
export function shutDownOnSignals(options: ShutdownOptions): void {
  const { starting, logger, signals, shutdownSignals } = options;
  const phase = { draining: false, forced: false };

  async function drainAndExit(): Promise<void> {
    const running = await starting;
    await running.drain();
    logger.info('drained');
    // A forced close also closes the process, and determines its exit code.
    if (phase.forced) return;
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

  function onSignal(signal: HandledSignal): void {
    if (!phase.draining) {
      phase.draining = true;
      logger.info('draining', { signal });
      options.onShutdown?.();
      void drainAndExit();
    } else if (signal === 'SIGINT' && !phase.forced) {
      phase.forced = true;
      logger.warn('forced-close', { signal });
      void forceClose();
    } else {
      logger.info('signal-ignored', { signal });
    }
  }

  shutdownSignals.forEach((signal) => signals.handle(signal, onSignal));
}
