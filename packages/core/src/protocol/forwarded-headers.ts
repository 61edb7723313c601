/** Headers that pass between callers and backend servers. */
import { FLEET_HEADER_PREFIX, REQUEST_ID_HEADER } from './attempt-headers.js';

const HOP_BY_HOP = new Set([
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

/** Header fields as Node's HTTP modules give them. */
export type HeaderFields = Record<string, string | string[] | undefined>;

/** Drops hop-by-hop headers, the fleet's own and the request's name, which each hop sets itself. */
export function filterForwardedHeaders(fields: HeaderFields): Record<string, string | string[]> {
  const passed: Record<string, string | string[]> = {};
  Object.entries(fields).forEach(([name, value]) => {
    if (value === undefined || HOP_BY_HOP.has(name)) return;
    if (name.startsWith(FLEET_HEADER_PREFIX) || name === REQUEST_ID_HEADER) return;
    passed[name] = value;
  });
  return passed;
}
