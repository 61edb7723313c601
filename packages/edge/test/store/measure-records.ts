/**
 * Measures what the records of streams cost a router that reads them after all routers have lost their memory:
 * `node --import tsx packages/edge/test/store/measure-records.ts ROUTERS STREAMS_PER_ROUTER RESUMED`
 */
import { findRecordedOrigins } from '@kingcupsill/core/direct';
import { decodeRecords } from '../../src/store/stream-store.js';

const [routers = 1100, streamsPerRouter = 225, resumed = 200] = process.argv.slice(2).map(Number);

const idOf = (router: number, index: number): string =>
  (router * 1_000_003 + index).toString(16).padStart(16, '0');

const specs = Array.from({ length: routers }, (_none, router) => ({
  streams: {
    engines: {
      v1: Array.from({ length: streamsPerRouter / 2 }, (_id, index) => idOf(router, 2 * index)),
      v2: Array.from({ length: streamsPerRouter / 2 }, (_id, index) => idOf(router, 2 * index + 1)),
    },
  },
}));
const text = JSON.stringify(specs);
const streamIds = new Set(Array.from({ length: resumed }, (_none, index) => idOf(index, 4)));

const startMs = performance.now();
const parsed = JSON.parse(text) as unknown[];
const parsedMs = performance.now();
const records = decodeRecords(
  parsed.map((spec, index) => ({ name: `${index}`, revision: 1, spec })),
);
const decodedMs = performance.now();
const origins = findRecordedOrigins(records, streamIds);
const foundMs = performance.now();
const round = (ms: number): number => Math.round(ms * 10) / 10;
process.stdout.write(
  `${JSON.stringify({
    routers,
    streamsPerRouter,
    bytesPerRouter: Math.round(text.length / routers),
    bytes: text.length,
    parseMs: round(parsedMs - startMs),
    decodeMs: round(decodedMs - parsedMs),
    findMs: round(foundMs - decodedMs),
    found: origins.size,
  })}\n`,
);
