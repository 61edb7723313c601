/** Fixtures of the link tests: hello messages, a recording of handler calls, and a quiet logger. */
import { PROTOCOL_VERSION } from '@kingcupsill/core';
import type { Hello, LinkMessage } from '@kingcupsill/core';
import type { Link, LinkHandlers, LinkLogger, LinkOptions, Refusal } from '../../src/index.js';

export const FLEET_KEY = 'fleet-key-of-the-tests';

const WAIT_TIMEOUT_MS = 10_000;
const POLL_MS = 5;

export function createHello(id: string): Hello {
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

export interface Recording {
  opened: Link[];
  messages: LinkMessage[];
  closed: string[];
  refused: Refusal[];
  handlers: LinkHandlers;
}

export function recordCalls(): Recording {
  const recording: Omit<Recording, 'handlers'> = {
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

export function createOptions(id: string, recording: Recording): LinkOptions {
  return {
    fleetKey: FLEET_KEY,
    hello: () => createHello(id),
    handlers: recording.handlers,
    logger: silentLogger,
  };
}

/** Waits until the condition holds; rejects after a time that no test should need. */
export async function waitUntil(condition: () => boolean): Promise<void> {
  const deadlineMs = Date.now() + WAIT_TIMEOUT_MS;
  while (!condition()) {
    if (Date.now() > deadlineMs) throw new Error(`condition never held: ${condition.toString()}`);
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
  }
}
