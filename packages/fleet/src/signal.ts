/** A one-time signal. */

/** Something that happens once; late waiters see it too. */
export interface Signal {
  happened: Promise<void>;
  raise(): void;
}

/** Creates a signal that has not happened. */
export function createSignal(): Signal {
  let resolveHappened: () => void = () => undefined;
  const happened = new Promise<void>((resolve) => {
    resolveHappened = resolve;
  });
  return { happened, raise: () => resolveHappened() };
}
