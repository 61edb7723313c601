/** Counts the traffic of one link. */
import type { LinkCounters } from '../types.js';
import { frameBytes } from './frame-bytes.js';

/** Counters of one link, fed by frame. */
export interface TrafficCounters {
  countSentFrame(payloadBytes: number): void;
  countReceivedFrame(payloadBytes: number): void;
  countSentMessage(): void;
  countReceivedMessage(): void;
  counters(): LinkCounters;
}

/** Creates counters of 0. Frames of the dialling side are masked. */
export function createTrafficCounters(dialed: boolean): TrafficCounters {
  const counters: LinkCounters = {
    bytesSent: 0,
    bytesReceived: 0,
    messagesSent: 0,
    messagesReceived: 0,
  };
  return {
    countSentFrame(payloadBytes) {
      counters.bytesSent += frameBytes(payloadBytes, dialed);
    },
    countReceivedFrame(payloadBytes) {
      counters.bytesReceived += frameBytes(payloadBytes, !dialed);
    },
    countSentMessage() {
      counters.messagesSent += 1;
    },
    countReceivedMessage() {
      counters.messagesReceived += 1;
    },
    counters: () => ({ ...counters }),
  };
}
