/** Selection of the headers that are forwarded between callers and backend servers. */
import { setOwn } from '../collections/index.js';
import { FLEET_HEADER_PREFIX, REQUEST_ID_HEADER } from './attempt-headers.js';

const HOP_BY_HOP_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
  'host',
  'content-length',
]);

/** Header fields in the format of Node's HTTP modules. */
export type HeaderFields = Record<string, string | string[] | undefined>;

/** Removes hop-by-hop headers, headers internal to the fleet and the request id, which each hop sets itself. */
export function filterForwardedHeaders(fields: HeaderFields): Record<string, string | string[]> {
  const forwarded: Record<string, string | string[]> = {};
  Object.entries(fields).forEach(([name, value]) => {
    if (value === undefined || HOP_BY_HOP_HEADERS.has(name)) return;
    if (name.startsWith(FLEET_HEADER_PREFIX) || name === REQUEST_ID_HEADER) return;
    setOwn(forwarded, name, value);
  });
  return forwarded;
}
