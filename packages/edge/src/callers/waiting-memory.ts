/** Memory of what callers have sent and the parser hasn't got yet. */
import type { Logger } from '@kingcupsill/runtime';
import type { ConnectionInput } from './connection-input.js';

/** Memory of all connections of a server. */
export interface WaitingMemory {
  has(input: ConnectionInput): boolean;
  /** Counts what waits of an input. Beyond the limit, connections are closed whose requests wait behind others, or else this one. */
  add(input: ConnectionInput): void;
  remove(input: ConnectionInput): void;
}

/** @param maxBytes limit of all inputs together */
export function createWaitingMemory(maxBytes: number, logger: Logger): WaitingMemory {
  const bytesByInput = new Map<ConnectionInput, number>();
  let waitingBytes = 0;

  function remove(input: ConnectionInput): void {
    waitingBytes -= bytesByInput.get(input) ?? 0;
    bytesByInput.delete(input);
  }

  return {
    has: (input) => bytesByInput.has(input),
    add(input) {
      const bytes = input.waitingBytes();
      bytesByInput.set(input, bytes);
      waitingBytes += bytes;
      if (waitingBytes <= maxBytes) return;
      const closed = [...bytesByInput.keys()].find((other) => !other.isReceivingBody()) ?? input;
      const isReceivingBody = closed.isReceivingBody();
      logger.warn('caller-input-full', { waitingBytes, limit: maxBytes, isReceivingBody });
      remove(closed);
      closed.drop();
      closed.socket.destroy();
    },
    remove,
  };
}
