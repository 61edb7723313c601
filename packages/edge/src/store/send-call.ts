/** Transport of calls to the platform's store. */
import { Agent } from 'node:http';
import type { SendStoreCall } from '@kingcupsill/prepared-platform';
import { sendHttpCall } from '../http-call.js';

/** Sends calls over kept connections. */
export interface StoreTransport {
  send: SendStoreCall;
  close(): void;
}

/** One for each watch, and one for calls between them. */
const MOST_IDLE_CONNECTIONS = 4;

/** Creates the transport; the address may change with the settings. */
export function createStoreTransport(
  address: () => { host: string; port: number },
): StoreTransport {
  const agent = new Agent({
    keepAlive: true,
    maxFreeSockets: MOST_IDLE_CONNECTIONS,
    noDelay: true,
  });
  return {
    send: (call) => sendHttpCall({ ...call, ...address(), agent }),
    close: () => agent.destroy(),
  };
}
