/** Fixtures of the link tests: hello messages, handlers that record their calls, and a silent logger. */
import { PROTOCOL_VERSION } from '@kingcupsill/core';
import type { HelloMessage, LinkMessage } from '@kingcupsill/core';
import type { Link, LinkHandlers, LinkLogger, LinkOptions, Refusal } from '../../src/index.js';

export const FLEET_KEY = 'fleet-key-of-the-tests';

const WAIT_TIMEOUT_MS = 10_000;
const POLL_MS = 5;

export function createHello(id: string): HelloMessage {
  return {
    kind: 'hello',
    protocol: PROTOCOL_VERSION,
    role: 'router',
    id,
    incarnation: `${id}-1`,
    zone: 'kingston-a',
    region: 'kingston',
    configVersion: 0,
  };
}

export const silentLogger: LinkLogger = { debug() {}, info() {}, warn() {} };

export interface RecordedCalls {
  opened: Link[];
  messages: LinkMessage[];
  closed: string[];
  refused: Refusal[];
  handlers: LinkHandlers;
}

export function recordCalls(): RecordedCalls {
  const recording: Omit<RecordedCalls, 'handlers'> = {
    opened: [],
    messages: [],
    closed: [],
    refused: [],
  };
  return {
    ...recording,
    handlers: {
      onOpen: (link) => recording.opened.push(link),
      onMessage: (_link, message) => recording.messages.push(message),
      onClose: (_link, reason) => recording.closed.push(reason),
      onRefused: (refusal) => recording.refused.push(refusal),
    },
  };
}

export function createOptions(id: string, recording: RecordedCalls): LinkOptions {
  return {
    fleetKey: FLEET_KEY,
    hello: () => createHello(id),
    handlers: recording.handlers,
    logger: silentLogger,
  };
}

/** Polls until the condition holds; rejects after 10 s. */
export async function waitUntil(condition: () => boolean): Promise<void> {
  const deadlineMs = Date.now() + WAIT_TIMEOUT_MS;
  while (!condition()) {
    if (Date.now() > deadlineMs) throw new Error(`timed out waiting for: ${condition.toString()}`);
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
  }
}
