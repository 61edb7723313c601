/** Connection probe for backend servers without a request API. */
import { connect } from 'node:net';

const DEFAULT_HTTP_PORT = 80;

/** Opens and closes a TCP connection. Resolves with false if the connection fails. */
export function acceptsConnections(url: string): Promise<boolean> {
  const { hostname, port } = new URL(url);
  return new Promise((resolve) => {
    const socket = connect({ host: hostname, port: Number(port) || DEFAULT_HTTP_PORT });
    const finish = (accepted: boolean) => {
      socket.destroy();
      resolve(accepted);
    };
    socket.once('connect', () => finish(true));
    socket.once('error', () => finish(false));
  });
}
