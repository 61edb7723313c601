/** Era of the store: a restore from an older copy begins a new one, in which revisions are given out again. */

/** Era of the store as seen by all calls of one process. */
export interface StoreEra {
  /** Records the era of an answer. Returns false if the answer is from an era that has ended, so that it must not be used. */
  observe(era: number | undefined): boolean;
  /** Latest era; undefined before the first answer that states one. */
  current(): number | undefined;
  /** Returns a promise that resolves when a newer era begins, and a function that stops waiting. */
  waitForNext(): { begun: Promise<void>; stop: () => void };
}

/** @param onRestored called when an era begins that isn't the first one seen */
export function createStoreEra(onRestored: (era: number) => void): StoreEra {
  const waiters = new Set<() => void>();
  let current: number | undefined;

  return {
    observe(era) {
      if (era === undefined || era === current) return true;
      if (current !== undefined && era < current) return false;
      const isFirst = current === undefined;
      current = era;
      if (isFirst) return true;
      onRestored(era);
      waiters.forEach((wake) => wake());
      return true;
    },
    current: () => current,
    waitForNext() {
      let wake: () => void = () => undefined;
      const begun = new Promise<void>((resolve) => {
        wake = resolve;
      });
      waiters.add(wake);
      return { begun, stop: () => waiters.delete(wake) };
    },
  };
}
