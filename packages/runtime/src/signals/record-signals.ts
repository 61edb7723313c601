/**
 * Signals from the first lines of a process on. A program imports this module alone and loads the rest afterwards, since a signal
 * without a handler ends the process.
 */

const HANDLED_SIGNALS = ['SIGHUP', 'SIGINT', 'SIGTERM'] as const;

/** Signals that don't end a process by default action once they are recorded. */
export type HandledSignal = (typeof HANDLED_SIGNALS)[number];

/** Received signals; equal ones that wait for their handler count as one. */
export interface ReceivedSignals {
  /** Returns whether a signal has been received that no handler has got yet. */
  isPending(signal: HandledSignal): boolean;
  /** Passes a pending signal and all later ones to a handler, which replaces an earlier one. */
  handle(signal: HandledSignal, handler: (signal: HandledSignal) => void): void;
}

/** Starts recording. */
export function recordSignals(): ReceivedSignals {
  const pending = new Set<HandledSignal>();
  const handlers = new Map<HandledSignal, (signal: HandledSignal) => void>();

  HANDLED_SIGNALS.forEach((signal) => {
    process.on(signal, () => {
      const handler = handlers.get(signal);
      if (handler === undefined) pending.add(signal);
      else handler(signal);
    });
  });
  return {
    isPending: (signal) => pending.has(signal),
    handle(signal, handler) {
      handlers.set(signal, handler);
      if (pending.delete(signal)) handler(signal);
    },
  };
}
