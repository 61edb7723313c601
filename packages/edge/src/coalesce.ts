/** Joins calls in quick succession. */

/**
 * Returns a function that runs `action` at the first call at once, and at most once in each period of `periodMs` milliseconds, the
 * last time after the last call.
 */
export function coalesce(action: () => void, periodMs: number): () => void {
  let timer: NodeJS.Timeout | undefined;
  let isDue = false;

  function run(): void {
    isDue = false;
    timer = setTimeout(() => {
      timer = undefined;
      if (isDue) run();
    }, periodMs).unref();
    action();
  }

  return () => {
    if (timer === undefined) run();
    else isDue = true;
  };
}
