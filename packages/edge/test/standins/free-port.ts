/** Ports for listeners whose address must be known before they start. */
import { createServer } from 'node:net';
import { promisify } from 'node:util';

/** Below the ephemeral port range, so that no outgoing connection of a test occupies a port before its listener does. */
const FIRST_PORT = 10_000;
const BLOCK_SIZE = 100;
const BLOCK_COUNT = 200;

/** Resolves to a function that stops listening; undefined if the port is in use. */
function tryListen(port: number): Promise<(() => Promise<void>) | undefined> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(undefined));
    server.listen(port, '127.0.0.1', () => {
      server.unref();
      resolve(promisify(server.close.bind(server)));
    });
  });
}

/**
 * Reserves a block of ports for this process, by listening on the first one until the process ends. A port that is free for a moment
 * may belong to a router that another test process is about to start again, so it isn't enough that nothing listens on it.
 */
async function reserveBlock(): Promise<number[]> {
  for (let tried = 0; tried < BLOCK_COUNT; tried += 1) {
    const first = FIRST_PORT + ((process.pid + tried) % BLOCK_COUNT) * BLOCK_SIZE;
    if ((await tryListen(first)) !== undefined)
      return Array.from({ length: BLOCK_SIZE - 1 }, (_none, index) => first + 1 + index);
  }
  throw new Error(`all ${BLOCK_COUNT} blocks of ports are reserved`);
}

let unusedPorts: Promise<number[]> | undefined;

/** Returns a port that no other call returns, in this test process or in another one that runs meanwhile. */
export async function findFreePort(): Promise<number> {
  unusedPorts ??= reserveBlock();
  const port = (await unusedPorts).shift();
  if (port === undefined) {
    unusedPorts = undefined;
    return findFreePort();
  }
  const stopListening = await tryListen(port);
  if (stopListening === undefined) return findFreePort();
  await stopListening();
  return port;
}
