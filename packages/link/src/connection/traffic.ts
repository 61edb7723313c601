/** Counts the traffic of one link. */
import type { LinkCounters } from '../types.js';
import { frameBytes } from './frame-bytes.js';

/** Counters of one link, fed by frame. */
export interface Traffic {
  sentFrame(payloadBytes: number): void;
  receivedFrame(payloadBytes: number): void;
  sentMessage(): void;
  receivedMessage(): void;
  counters(): LinkCounters;
}

/** Creates counters of 0. Frames of the dialling side are masked. */
export function createTraffic(dialed: boolean): Traffic {
  const counters: LinkCounters = {
    bytesSent: 0,
    bytesReceived: 0,
    messagesSent: 0,
    messagesReceived: 0,
  };
  return {
    sentFrame(payloadBytes) {
      counters.bytesSent += frameBytes(payloadBytes, dialed);
    },
    receivedFrame(payloadBytes) {
      counters.bytesReceived += frameBytes(payloadBytes, !dialed);
    },
    sentMessage() {
      counters.messagesSent += 1;
    },
    receivedMessage() {
      counters.messagesReceived += 1;
    },
    counters: () => ({ ...counters }),
  };
}
