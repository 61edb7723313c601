/** Loopback addresses and waiting. */

export const HOST = '127.0.0.1';

/** Listens on a free port. Resolves with the address. */
export function listen(server, host = HOST) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({ host, port: 0 }, () => resolve(`${host}:${server.address().port}`));
  });
}

const randomByte = () => 1 + Math.floor(Math.random() * 250);

/** Returns a loopback address for one machine, of which all ports are free. */
export function machineAddress() {
  return `127.${randomByte()}.${randomByte()}.${randomByte()}`;
}

export const delay = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

export function split(address) {
  const [host, port] = address.split(':');
  return { host, port: Number(port) };
}
