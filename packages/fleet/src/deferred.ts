/** A one-time signal. */

/** Something that happens once; late waiters see it too. */
export interface Deferred {
  promise: Promise<void>;
  resolve(): void;
}

/** Creates a signal that has not happened. */
export function createDeferred(): Deferred {
  let resolvePromise: () => void = () => undefined;
  const promise = new Promise<void>((resolve) => {
    resolvePromise = resolve;
  });
  return { promise, resolve: () => resolvePromise() };
}
