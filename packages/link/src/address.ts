/** Parsing and classification of `host:port` addresses. */
import { BlockList, isIP } from 'node:net';

const MAX_PORT = 65535;

const loopback = new BlockList();
loopback.addSubnet('127.0.0.0', 8, 'ipv4');
loopback.addAddress('::1', 'ipv6');

/** Host and port of a listener. */
export interface HostPort {
  host: string;
  port: number;
}

/** Parses `host:port`, where an IPv6 host is in brackets. Returns undefined if malformed or the port is 0. */
export function parseAddress(address: string): HostPort | undefined {
  const match = /^(?:\[([^\]]+)\]|([^:[\]/@?#]+)):(\d{1,5})$/.exec(address);
  if (match === null) return undefined;
  const port = Number(match[3]);
  if (port === 0 || port > MAX_PORT) return undefined;
  return { host: match[1] ?? match[2]!, port };
}

/** Returns whether the host is `localhost` or an IP address of the loopback interface. */
export function isLoopbackHost(host: string): boolean {
  if (host === 'localhost') return true;
  const family = isIP(host);
  return family !== 0 && loopback.check(host, family === 6 ? 'ipv6' : 'ipv4');
}
