/** Settings of the direct router. */
import type { Settings } from '@kingcupsill/runtime';
import { z } from 'zod';

const address = z.string().regex(/^[0-9.]+:\d{1,5}$/, 'expected IP address and port');
const positive = z.number().positive();

/** INI schema of `kingcupsill-edge`. */
export const edgeSchema = z.strictObject({
  process: z.strictObject({
    id: z.string().min(1).describe('name of this instance'),
    zone: z.string().min(1).describe('own availability zone'),
    zone_regions: z.string().default('').describe('zone=region pairs, joined by commas'),
    log_level: z.enum(['trace', 'debug', 'info', 'warn', 'error']).default('info'),
  }),
  callers: z.strictObject({
    address: address.describe('address for callers'),
    readiness_address: address.describe('address of the readiness check'),
  }),
  admin: z.strictObject({
    address: address.describe('address of metrics and the state dump'),
  }),
  peers: z.strictObject({ address: address.describe('address for other routers') }),
  store: z.strictObject({
    address: address.describe("address of the platform's store"),
    heartbeat_ms: positive.describe('time between signs of life of backend servers in the store'),
    notice_ms: positive
      .default(3000)
      .describe('time within which a connection that went silent must be noticed'),
  }),
  shutdown: z.strictObject({
    grace_s: positive.describe('time between SIGTERM and SIGKILL'),
  }),
  repeats: z.strictObject({
    ratio: z.number().min(0).describe('repeats allowed per request, fleet-wide'),
    burst: z.number().min(0).describe('repeats allowed besides in one window, fleet-wide'),
    window_s: positive.describe('window of the repeat budget'),
  }),
  shares: z.strictObject({
    window_s: positive.describe("window over which client accounts' shares are levelled"),
  }),
});

/** Settings as the process reads them. */
export type EdgeSettings = Settings<typeof edgeSchema>;

/** Splits `host:port`. */
export function parseAddress(text: string): { host: string; port: number } {
  const colon = text.lastIndexOf(':');
  return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) };
}

/** Reads zone=region pairs. */
export function parseZoneRegions(text: string): Map<string, string> {
  const pairs = text.split(',').map((pair) => pair.split('='));
  return new Map(
    pairs.flatMap(([zone, region]) => (zone && region ? [[zone.trim(), region.trim()]] : [])),
  );
}
