import assert from 'node:assert/strict';
import { once } from 'node:events';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { createHasher } from '@kingcupsill/core/hash';
import fc from 'fast-check';
import { Packr } from 'msgpackr';
import { WebSocket } from 'ws';
import {
  createCrashBlocks,
  createDirectState,
  createServerLimits,
  createStoreNews,
  directReducer,
} from '@kingcupsill/core/direct';
import type { RouterInfo, RouterReport } from '@kingcupsill/core/direct';
import { createPeerLinks } from '../../src/peers/peer-links.js';
import type { PeerLinks } from '../../src/peers/peer-links.js';
import { createReportCodec } from '../../src/peers/report-codec.js';
import { waitUntil } from '../standins/deployment.js';
import { findFreePort } from '../standins/free-port.js';
import { createRecordingLogger } from '../standins/recording-logger.js';

const report: RouterReport = {
  router: 'r1/1',
  loads: [
    {
      serverKey: 'e1@1',
      running: 3,
      sentTokens: 900,
      sentRequests: 2,
      promptParts: [['ab', 300]],
    },
  ],
  accounts: [['kingston', 1000, 800]],
  leaving: ['e2@1'],
  storeNews: [],
  crashNews: {
    crashes: [['e1@1', ['p1', 'p2']]],
    served: ['p1'],
    blocked: [{ traits: ['p3'], remainingMs: 1000 }],
  },
  limits: [],
  demand: [['llm', 7]],
  starts: [],
};

function createSampleState() {
  return createDirectState({
    router: 'r2/1',
    hasher: { hash32: (text) => text.length },
    zone: 'z1',
    regionByZone: new Map(),
    instance: 'r1',
    followsEvacuations: false,
    registry: { outageThresholdMs: 1000, renewalGraceMs: 1000 },
    retryBudget: { ratio: 0.2, burst: 5, windowMs: 1000 },
    store: { writesPerSecond: 10, readsPerSecond: 10 },
    shareWindowMs: 1000,
  });
}

test('decodes an encoded report unchanged and rejects malformed bytes', () => {
  const codec = createReportCodec();
  const limits = [
    { serverKey: 'e1@1', requestsPerSecond: 5.2, ageMs: 40 },
    { serverKey: 'e2@1', requestsPerSecond: undefined, ageMs: 9 },
  ];
  const starts = ['e1@1', 'e3@1'].map((serverKey) => ({
    serverKey,
    sentAgeMs: 300,
    begunAgeMs: 20,
  }));
  const value = { ...report, limits, starts };
  assert.deepEqual(codec.decode(codec.encode(value)), { ok: true, value });
  assert.equal(codec.decode(Buffer.from([0xc1])).ok, false);
});

// Guards against a report of another shape that ends the router which applies it.
test('applies only reports of the expected shape', () => {
  const codec = createReportCodec();
  const packr = new Packr({ useRecords: false });
  const wire = packr.unpack(codec.encode(report, 1)) as unknown[];
  const spoilt = fc
    .tuple(fc.nat(wire.length), fc.anything())
    .map(([index, value]) => wire.with(index % wire.length, value));
  const text = fc.oneof(
    fc.uint8Array().map((bytes) => Buffer.from(bytes)),
    fc.oneof(fc.anything(), spoilt).map((value) => packr.pack(value)),
  );
  const property = fc.property(text, (bytes) => {
    const decoded = codec.decode(bytes);
    if (!decoded.ok) return;
    const state = createSampleState();
    directReducer(state, { kind: 'peer-report', report: decoded.value, nowMs: 1 });
    codec.encode(decoded.value);
  });
  fc.assert(property, { seed: 20261205, numRuns: 1000 });
  const unusable = [wire.with(1, [['e1', 'x', 0, [], 0]]), wire.with(4, [[1, 2, 3, 4]])];
  unusable.forEach((value) => assert.equal(codec.decode(packr.pack(value)).ok, false));
  const longer = codec.decode(packr.pack([...wire, 'of a later build']));
  assert.equal(longer.ok, true);
});

// Guards against one report of a megabyte whose entries, or the errors about them, fill the heap.
test('reads a list up to its first invalid entry, and none that is too long', () => {
  const codec = createReportCodec();
  const packr = new Packr({ useRecords: false });
  const wire = packr.unpack(codec.encode(report)) as unknown[];
  const invalid = codec.decode(packr.pack(wire.with(1, Array(5000).fill([]))));
  assert.ok(!invalid.ok && invalid.message.length < 1000);
  const many = Array.from({ length: 100_000 }, (_none, index) => [`e${index}`, 1, 1, [], 1]);
  assert.equal(codec.decode(packr.pack(wire.with(1, many))).ok, false);
  assert.equal(codec.decode(packr.pack(Array(1000).fill('x'))).ok, false);
});

interface TestRouter {
  info: RouterInfo;
  links: PeerLinks;
  received: RouterReport[];
  lost: string[];
}

async function startRouter(info: RouterInfo): Promise<TestRouter> {
  const received: RouterReport[] = [];
  const lost: string[] = [];
  const links = await createPeerLinks({
    host: '127.0.0.1',
    port: Number(info.address.split(':')[1]),
    self: info.name,
    router: `${info.name}/1`,
    hasher: await createHasher(),
    clock: () => performance.now(),
    logger: createRecordingLogger(),
    maxLinks: 100,
    maxConnections: 10,
    onReport: (receivedReport) => received.push(receivedReport),
    onPeerLost: (link) => lost.push(link),
    onSent: () => undefined,
    storeNews: createStoreNews(),
    blocks: createCrashBlocks(),
    serverLimits: createServerLimits(() => 0),
  });
  return { info, links, received, lost };
}

async function createInfos(count: number, zones: number): Promise<RouterInfo[]> {
  const infos: RouterInfo[] = [];
  for (let index = 0; index < count; index += 1) {
    const address = `127.0.0.1:${await findFreePort()}`;
    infos.push({ name: `r${index}`, address, zone: `z${index % zones}`, cores: 1 });
  }
  return infos;
}

const runningAt = ({ received }: TestRouter, serverKey: string) =>
  [
    ...new Map(
      received.flatMap(({ router, loads }) =>
        loads.flatMap((load) => (load.serverKey === serverKey ? [[router, load.running]] : [])),
      ) as [string, number][],
    ).values(),
  ].reduce((sum, running) => sum + running, 0);

test('delivers reports to a peer, signals a lost peer and links a returning one again', async () => {
  const infos = await createInfos(2, 2);
  const receiver = await startRouter(infos[1]!);
  const sender = await startRouter(infos[0]!);
  [receiver, sender].forEach(({ links }) => links.setRouters(infos));
  const deliverNews = async ({ links }: TestRouter): Promise<RouterReport> => {
    const receivedBefore = receiver.received.length;
    await waitUntil(() => {
      links.report(report);
      return receiver.received.length > receivedBefore;
    });
    return receiver.received.at(-1)!;
  };
  await deliverNews(sender);
  // All earlier reports have been sent when the next one stands alone.
  await delay(200);
  const single = receiver.received.length;
  sender.links.report(report);
  await waitUntil(() => receiver.received.length > single);
  const last = receiver.received.at(-1)!;
  assert.deepEqual({ ...last, router: 'r1/1' }, report);
  sender.links.close();
  await waitUntil(() => receiver.lost.includes(last.router));
  const restarted = await startRouter(infos[0]!);
  restarted.links.setRouters(infos);
  assert.notEqual((await deliverNews(restarted)).router, last.router);
  restarted.links.close();
  receiver.links.close();
});

test('reports reach all routers of a grouped fleet, also after the hub of a group is lost', async () => {
  const infos = await createInfos(12, 2);
  const routers = await Promise.all(infos.map(startRouter));
  try {
    routers.forEach(({ links }) => links.setRouters(infos));
    const [source, ...others] = routers as [TestRouter, ...TestRouter[]];
    source.links.report(report);
    await waitUntil(() => others.every((router) => runningAt(router, 'e1@1') === 3));
    assert.ok(others.every(({ received }) => received.length <= 40));
    // The other routers of the source's zone lose their links to a hub when it goes.
    const linkedTo = new Map<TestRouter, number>();
    routers.forEach((router) => {
      const links = new Set(router.received.map(({ router: link }) => link));
      links.forEach((link) => {
        const name = /^to-member:(.*)#/.exec(link)?.[1];
        const hub = routers.find(({ info }) => info.name === name);
        if (hub !== undefined) linkedTo.set(hub, (linkedTo.get(hub) ?? 0) + 1);
      });
    });
    const hub = [...linkedTo.keys()].find((router) => router !== source);
    assert.ok(hub !== undefined, 'no hub found');
    hub.links.close();
    const alive = routers.filter((router) => router !== hub);
    await waitUntil(() => {
      source.links.report({ ...report, loads: [{ ...report.loads[0]!, serverKey: 'e9@1' }] });
      return alive.every((router) => router === source || runningAt(router, 'e9@1') >= 3);
    });
  } finally {
    routers.forEach(({ links }) => links.close());
  }
});

test('a malformed path does not stop a router, and a malformed report closes its link', async () => {
  const [info] = await createInfos(1, 1);
  const router = await startRouter(info!);
  const socket = new WebSocket(`ws://${info!.address}/member/%`);
  try {
    await once(socket, 'open');
    socket.send(Buffer.from([0xc1]));
    await once(socket, 'close');
    assert.equal(router.received.length, 0);
    assert.deepEqual(router.lost.length, 1);
  } finally {
    socket.terminate();
    router.links.close();
  }
});

// Guards against reports of a router that count twice while its earlier link, which has gone silent, is still open.
test('a second link of a router replaces its first one', async () => {
  const [info] = await createInfos(1, 1);
  const router = await startRouter(info!);
  const sockets: WebSocket[] = [];
  const open = async (name: string): Promise<void> => {
    const socket = new WebSocket(`ws://${info!.address}/member/${name}`);
    sockets.push(socket);
    await once(socket, 'open');
  };
  try {
    await open('r7');
    await open('r8');
    const closed = once(sockets[0]!, 'close');
    await open('r7');
    await closed;
    assert.equal(router.lost.length, 1);
    assert.equal(sockets[1]!.readyState, WebSocket.OPEN);
  } finally {
    sockets.forEach((socket) => socket.terminate());
    router.links.close();
  }
});
