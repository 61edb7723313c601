/** Listening on an address that may still be in use, or not yet assigned to the machine. */
import type { Server } from 'node:net';
import { listenOn } from '@kingcupsill/runtime';
import type { ListenOptions, Logger } from '@kingcupsill/runtime';
import { logListenerErrors } from './listener-errors.js';

/** Options of `listenWhenFree`. */
export interface ListenWhenFreeOptions extends Omit<ListenOptions, 'onError'> {
  /** Name of the listener in the log. */
  listener: string;
  /** Whether to wait until the server listens; otherwise only for the first attempt. */
  isRequired: boolean;
  logger: Logger;
  /** Ends the attempts. */
  stopping?: AbortSignal;
}

const RETRY_DELAY_MS = 100;
/** Each attempt that is logged stands for this many. */
const ATTEMPTS_PER_LINE = 50;

/** An earlier process is ending, a connection uses the port, the address is being assigned, or the machine lacks resources. */
const TEMPORARY_ERRORS = new Set(['EADDRINUSE', 'EADDRNOTAVAIL', 'EMFILE', 'ENFILE', 'ENOBUFS']);

function isTemporary(err: unknown): boolean {
  return TEMPORARY_ERRORS.has((err as NodeJS.ErrnoException).code ?? '');
}

/**
 * Tries to listen until it succeeds, the server is closed, or the process is stopping. Rejects if a required server can't listen for a
 * reason that doesn't pass.
 */
export async function listenWhenFree(
  server: Server,
  options: ListenWhenFreeOptions,
): Promise<void> {
  const { listener, isRequired, logger, stopping, ...address } = options;
  const onError = logListenerErrors(logger, listener);
  const phase = { ended: stopping?.aborted === true, attempts: 0 };
  const end = (): void => {
    phase.ended = true;
  };
  server.once('close', end);
  stopping?.addEventListener('abort', end, { once: true });

  /** Returns whether another attempt makes sense. */
  async function attempt(): Promise<boolean> {
    phase.attempts += 1;
    try {
      await listenOn(server, { ...address, onError });
      if (phase.attempts > 1) logger.info('listening-late', { listener, attempts: phase.attempts });
      return false;
    } catch (err) {
      if (!isTemporary(err) && isRequired) throw err;
      if (phase.attempts % ATTEMPTS_PER_LINE === 1)
        logger.warn('listen-failed', { listener, attempts: phase.attempts, err });
      return isTemporary(err);
    }
  }

  function retry(): Promise<void> {
    return new Promise((resolve, reject) => {
      setTimeout(() => {
        if (phase.ended) resolve();
        else attempt().then((again) => resolve(again ? retry() : undefined), reject);
      }, RETRY_DELAY_MS);
    });
  }

  const retries = (await attempt()) ? retry() : undefined;
  if (isRequired) await retries;
}
