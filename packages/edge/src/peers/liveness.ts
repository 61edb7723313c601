/** Liveness of one link, from its traffic and the answers to its pings. */
import type { Clock } from '@kingcupsill/runtime';
import { LINK_TIMEOUT_MS } from './types.js';

/** Time without an answer to a ping after which a link may have gone silent; many times the longest latency between regions. */
const QUIET_AFTER_MS = 300;

/** Liveness of a link. */
export interface Liveness {
  recordTraffic(): void;
  recordPing(): void;
  /** Returns whether a ping is unanswered for so long that the connection may have gone silent. */
  isQuiet(): boolean;
  /** Returns whether the link counts as broken. */
  isTimedOut(): boolean;
}

/** Creates the liveness of a link that has had traffic just now. */
export function createLiveness(clock: Clock): Liveness {
  let lastTrafficMs = clock();
  /** Time of the first ping since the last traffic. */
  let pingedAtMs = Number.POSITIVE_INFINITY;
  return {
    recordTraffic() {
      lastTrafficMs = clock();
      pingedAtMs = Number.POSITIVE_INFINITY;
    },
    recordPing() {
      pingedAtMs = Math.min(pingedAtMs, clock());
    },
    isQuiet: () => clock() - pingedAtMs >= QUIET_AFTER_MS,
    isTimedOut: () => clock() - lastTrafficMs > LINK_TIMEOUT_MS,
  };
}
