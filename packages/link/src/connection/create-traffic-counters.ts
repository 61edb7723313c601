/** Traffic counters of one link. */
import type { LinkCounters } from '../types.js';
import { frameBytes } from './frame-bytes.js';

/** Counts frames and messages of one link. */
export interface TrafficCounters {
  countSentFrame(payloadBytes: number): void;
  countReceivedFrame(payloadBytes: number): void;
  countSentMessage(): void;
  countReceivedMessage(): void;
  snapshot(): LinkCounters;
}

/** Creates counters that start at 0. The masks of frames from the dialing side are counted as well. */
export function createTrafficCounters(isDialer: boolean): TrafficCounters {
  const counters: LinkCounters = {
    bytesSent: 0,
    bytesReceived: 0,
    messagesSent: 0,
    messagesReceived: 0,
  };
  return {
    countSentFrame(payloadBytes) {
      counters.bytesSent += frameBytes(payloadBytes, isDialer);
    },
    countReceivedFrame(payloadBytes) {
      counters.bytesReceived += frameBytes(payloadBytes, !isDialer);
    },
    countSentMessage() {
      counters.messagesSent += 1;
    },
    countReceivedMessage() {
      counters.messagesReceived += 1;
    },
    snapshot: () => ({ ...counters }),
  };
}
