/** Promise that is resolved from outside its executor. */

/** Pending promise and the function that resolves it. */
export interface Deferred {
  promise: Promise<void>;
  resolve(): void;
}

/** Creates a deferred whose promise is pending. */
export function createDeferred(): Deferred {
  let resolvePromise: () => void = () => undefined;
  const promise = new Promise<void>((resolve) => {
    resolvePromise = resolve;
  });
  return { promise, resolve: () => resolvePromise() };
}
