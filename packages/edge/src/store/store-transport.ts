/** HTTP transport of calls to the platform's store. */
import { Agent } from 'node:http';
import type { SendStoreCall } from '@kingcupsill/prepared-platform';
import { sendHttpCall } from '../http-call.js';
import { MAX_IDLE_MS } from './change-timing.js';

/** Transport over keep-alive connections. */
export interface StoreTransport {
  send: SendStoreCall;
  close(): void;
}

/** One for each watch, and one for other calls. */
const MAX_IDLE_CONNECTIONS = 4;
/** Several times the largest page. A larger batch of changes is replaced by a listing, which may take longer to read. */
const MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

/** Creates the transport. `address` is evaluated for each call, since the settings may change. */
export function createStoreTransport(
  address: () => { host: string; port: number },
): StoreTransport {
  const agent = new Agent({
    keepAlive: true,
    maxFreeSockets: MAX_IDLE_CONNECTIONS,
    noDelay: true,
    // Closes connections that have been idle for this time.
    timeout: MAX_IDLE_MS,
  });
  return {
    async send(call) {
      const result = await sendHttpCall({
        ...call,
        ...address(),
        agent,
        maxBytes: MAX_RESPONSE_BYTES,
      });
      // If one connection has failed, the idle ones have probably failed too.
      if (!result.ok)
        Object.values(agent.freeSockets)
          .flat()
          .forEach((socket) => socket?.destroy());
      return result;
    },
    close: () => agent.destroy(),
  };
}
