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
    async send(call) {
      const answer = await sendHttpCall({ ...call, ...address(), agent });
      // Where one connection went silent, the idle ones have too.
      if (!answer.ok)
        Object.values(agent.freeSockets)
          .flat()
          .forEach((socket) => socket?.destroy());
      return answer;
    },
    close: () => agent.destroy(),
  };
}
