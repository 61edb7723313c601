/** Whether the store answers. While it doesn't, one feed asks often and the others rarely: each call is paid, and all would fail alike. */

/** Shared by the feeds of one process. */
export interface StoreAvailability {
  /** A call of this feed failed. True where this feed is the one that asks for all. */
  reportFailure(feed: string): boolean;
  /** The store answered a call; waiting feeds go on at once. */
  reportSuccess(): void;
  /** Waits up to `ms`, less if the store answers another feed or the contact is closed. */
  pause(ms: number): Promise<void>;
  close(): void;
}

/** Creates the contact of a store that is thought to answer. */
export function createStoreAvailability(): StoreAvailability {
  const waiting = new Set<() => void>();
  let asking: string | undefined;

  function wakeAll(): void {
    [...waiting].forEach((wake) => wake());
  }

  return {
    reportFailure(feed) {
      asking ??= feed;
      return asking === feed;
    },
    reportSuccess() {
      if (asking === undefined) return;
      asking = undefined;
      wakeAll();
    },
    pause: (ms) =>
      new Promise((resolve) => {
        let timer: NodeJS.Timeout;
        function wake(): void {
          clearTimeout(timer);
          waiting.delete(wake);
          resolve();
        }
        waiting.add(wake);
        timer = setTimeout(wake, ms);
      }),
    close: wakeAll,
  };
}
