/** Availability of the store. During an outage one feed probes often and the others rarely, since each call has a cost and all would fail. */

/** Availability of the store, shared by the feeds of one process. */
export interface StoreAvailability {
  /** Records a failed call. Returns whether this feed is the one that probes the store for all. */
  reportFailure(feed: string): boolean;
  /** Records a response of the store; after an outage, waiting feeds resume at once. */
  reportSuccess(): void;
  /** Waits for up to `ms`, less if the store recovers or `close` is called. */
  pause(ms: number): Promise<void>;
  close(): void;
}

/** Creates the state of a store that is assumed to be available. */
export function createStoreAvailability(): StoreAvailability {
  const waiters = new Set<() => void>();
  let probingFeed: string | undefined;

  function wakeAll(): void {
    [...waiters].forEach((wake) => wake());
  }

  return {
    reportFailure(feed) {
      probingFeed ??= feed;
      return probingFeed === feed;
    },
    reportSuccess() {
      if (probingFeed === undefined) return;
      probingFeed = undefined;
      wakeAll();
    },
    pause: (ms) =>
      new Promise((resolve) => {
        let timer: NodeJS.Timeout;
        function wake(): void {
          clearTimeout(timer);
          waiters.delete(wake);
          resolve();
        }
        waiters.add(wake);
        timer = setTimeout(wake, ms);
      }),
    close: wakeAll,
  };
}
