/** Guards against routers that rest on a state of the store from before a change, because its confirmation arrived late. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  createCrashBlocks,
  createEmptyReport,
  createReportExchange,
  createServerLimits,
  createStoreNews,
  LinkKind,
} from '@kingcupsill/core/direct';
import type { ReportedStoreNews } from '@kingcupsill/core/direct';
import { createExchangeListener } from '../../src/peers/exchange-listener.js';
import { createReportCodec } from '../../src/peers/report-codec.js';
import { createRecordingLogger } from '../standins/recording-logger.js';
import type { LoggedLine } from '../standins/recording-logger.js';

/** Clocks of two routers differ by any amount. */
const SENDER_CLOCK_MS = 7_000_000;
const LATENCY_MS = 8;

function createReceiver() {
  let nowMs = 1000;
  const logLines: LoggedLine[] = [];
  const storeNews = createStoreNews();
  const exchange = createReportExchange({
    router: 'r2/1',
    storeNews,
    blocks: createCrashBlocks(),
    serverLimits: createServerLimits(() => 0),
  });
  const codec = createReportCodec();
  const sender = {
    add: () => undefined,
    remove: () => undefined,
    flush: () => undefined,
    close: () => undefined,
  };
  const listener = createExchangeListener(
    {
      clock: () => nowMs,
      logger: createRecordingLogger(logLines),
      exchange,
      sender,
      codec,
      onReport: () => undefined,
      onPeerLost: () => undefined,
    },
    LinkKind.Hub,
    false,
  );
  const link = { key: 'to-member:r1#1', send: () => true, close: () => undefined };
  listener.onOpen(link);

  /** Delivers a report that was sent at `sentAtMs`, by the receiver's clock, and took `transitMs`. */
  function deliver(sentAtMs: number, transitMs: number, news: ReportedStoreNews[]): void {
    const report = { ...createEmptyReport('r1/1'), storeNews: news };
    nowMs = sentAtMs + transitMs;
    listener.onMessage(link, codec.encode(report, sentAtMs + SENDER_CLOCK_MS));
  }
  return {
    deliver,
    logLines,
    /** When the store confirmed the news, by the receiver's clock. */
    confirmedAtMs: () => storeNews.get('config')?.confirmedAtMs,
  };
}

const news = [{ kind: 'config', era: 1, revision: 5, ageMs: 40 }];

test('a report that a link delivers late confirms nothing for the time on its way', () => {
  const { deliver, confirmedAtMs, logLines } = createReceiver();
  deliver(2000, LATENCY_MS, news);
  assert.equal(confirmedAtMs(), 2000 + LATENCY_MS - 40);
  // Held by a link that was cut and has healed.
  deliver(3000, 2500, news);
  assert.equal(confirmedAtMs(), 3000 + LATENCY_MS - 40);
  deliver(5600, LATENCY_MS, news);
  assert.equal(confirmedAtMs(), 5600 + LATENCY_MS - 40);
  const late = logLines.filter(({ event }) => event === 'peer-reports-late');
  assert.deepEqual(
    late.map(({ fields }) => fields.late),
    [true, false],
  );
});

test('clocks that drift apart delay no report in the long run', () => {
  const { deliver, confirmedAtMs } = createReceiver();
  for (let sentAtMs = 2000; sentAtMs < 400_000; sentAtMs += 1000) {
    // One part in ten thousand.
    const driftMs = sentAtMs / 10_000;
    deliver(sentAtMs, LATENCY_MS + driftMs, news);
    assert.ok(confirmedAtMs()! > sentAtMs + driftMs - 40);
  }
});

test('reports without a time of sending count as sent when they arrive', () => {
  const codec = createReportCodec();
  const decoded = codec.decode(codec.encode({ ...createEmptyReport('r1/1'), storeNews: news }));
  assert.ok(decoded.ok && decoded.sentAtMs === undefined);
});
