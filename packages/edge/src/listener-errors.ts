/** Errors of listening servers after their start, such as failures to accept a connection. */
import type { Logger } from '@kingcupsill/runtime';

/** Returns a handler that logs the errors of a listener; the listener goes on. */
export function logListenerErrors(logger: Logger, listener: string): (err: Error) => void {
  return (err) => logger.error('listener-failed', { listener, err });
}
