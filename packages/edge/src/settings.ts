/** Settings of the direct router. */
import { parseSocketAddress } from '@kingcupsill/core/http-syntax';
import type { Settings, SettingsFallbacks } from '@kingcupsill/runtime';
import { z } from 'zod';

const address = z
  .string()
  .refine((text) => parseSocketAddress(text) !== undefined, 'expected an IP address and a port');
const FREE_PORT = /:0$/;
const addressOrFreePort = z
  .string()
  .refine(
    (text) => parseSocketAddress(text.replace(FREE_PORT, ':1')) !== undefined,
    'expected an IP address and a port',
  );
const positive = z.number().positive();

/** INI schema of `kingcupsill-edge`. */
export const edgeSchema = z.strictObject({
  process: z.strictObject({
    id: z.string().min(1).describe('name of this instance'),
    zone: z.string().min(1).describe('availability zone of this instance'),
    zone_regions: z.string().default('').describe('comma-separated zone=region pairs'),
    cores: z.number().positive().default(1).describe('share of a processor core for this process'),
    memory_mb: positive.default(256).describe('memory of this process, in megabytes'),
    max_fds: positive
      .optional()
      .describe('file descriptors of this process; without it, the limit of the process'),
    log_level: z.enum(['trace', 'debug', 'info', 'warn', 'error']).default('info'),
  }),
  callers: z.strictObject({
    address: address.describe('listen address for callers'),
    readiness_address: address.describe('listen address for readiness checks'),
  }),
  admin: z.strictObject({
    address: addressOrFreePort.describe(
      'listen address for metrics and the state dump; port 0 selects a free port',
    ),
  }),
  peers: z.strictObject({ address: address.describe('listen address for other routers') }),
  store: z.strictObject({
    address: address.describe("address of the platform's store"),
    heartbeat_ms: positive.describe('heartbeat period of the backend servers in the store'),
    evacuation_ms: positive
      .optional()
      .describe(
        'maximum time until an evacuated zone gets no requests; without it, zones are never evacuated',
      ),
    change_ms: positive
      .optional()
      .describe('maximum time until a change of the configuration is in force'),
    drain_ms: positive
      .optional()
      .describe('maximum time until a draining server gets no new requests'),
    notice_ms: positive.default(3000).describe('maximum time to detect a silent connection'),
    writes_per_s: positive.default(400).describe('writes that the store takes from all routers'),
    reads_per_s: positive.default(2000).describe('reads that the store takes from all routers'),
  }),
  shutdown: z.strictObject({
    grace_s: positive.describe('time from SIGTERM to SIGKILL'),
  }),
  repeats: z.strictObject({
    ratio: z.number().min(0).describe('retries allowed per request, fleet-wide'),
    burst: z.number().min(0).describe('additional retries allowed per window, fleet-wide'),
    window_s: positive.describe('window of the retry budget'),
  }),
  shares: z.strictObject({
    window_s: positive.describe("window over which client accounts' shares are balanced"),
  }),
});

/** Values with which a router can run if the rendered file lacks one: cautious ones, and a free port for the metrics. */
export const EDGE_FALLBACKS: SettingsFallbacks = {
  process: { zone: 'unknown' },
  admin: { address: '127.0.0.1:0' },
  store: { heartbeat_ms: 1000 },
  shutdown: { grace_s: 5 },
  repeats: { ratio: 0.1, burst: 10, window_s: 10 },
  shares: { window_s: 4 },
};

/** Parsed settings of `kingcupsill-edge`. */
export type EdgeSettings = Settings<typeof edgeSchema>;

/** Returns the shortest time within which a change in the store must be in force. */
export function changeBoundMs({ store }: EdgeSettings): number {
  const { changeMs, drainMs, evacuationMs, noticeMs } = store;
  return Math.min(noticeMs, ...[changeMs, drainMs, evacuationMs].filter((ms) => ms !== undefined));
}

/** Splits an address of the form `host:port`. */
export function parseAddress(text: string): { host: string; port: number } {
  const colon = text.lastIndexOf(':');
  return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) };
}

/** Parses comma-separated `zone=region` pairs. Incomplete pairs are ignored. */
export function parseZoneRegions(text: string): Map<string, string> {
  const pairs = text.split(',').map((pair) => pair.split('='));
  return new Map(
    pairs.flatMap(([zone, region]) => (zone && region ? [[zone.trim(), region.trim()]] : [])),
  );
}
