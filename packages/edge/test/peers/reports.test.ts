import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { RouterReport } from '@kingcupsill/core/direct';
import { createPeerLinks } from '../../src/peers/peer-links.js';
import type { PeerLinks } from '../../src/peers/peer-links.js';
import { createReportCodec } from '../../src/peers/report-codec.js';
import { findFreePort, waitUntil } from '../standins/deployment.js';
import { createRecordingLogger } from '../standins/recording-logger.js';

const report: RouterReport = {
  router: 'r1/1',
  loads: [{ serverKey: 'e1@1', running: 3, sentTokens: 900, promptParts: [['ab', 300]] }],
  accounts: [['kingston', 1000, 800]],
  leaving: ['e2@1'],
};
test('decodes an encoded report unchanged and rejects malformed bytes', () => {
  const codec = createReportCodec();
  assert.deepEqual(codec.decode(codec.encode(report)), report);
  assert.throws(() => codec.decode(Buffer.from([0xc1])));
});

test('delivers reports to a peer, signals a lost peer and links a returning one again', async () => {
  const [portA, portB] = [await findFreePort(), await findFreePort()];
  const received: RouterReport[] = [];
  const lostRouters: string[] = [];
  const create = (port: number): Promise<PeerLinks> =>
    createPeerLinks({
      host: '127.0.0.1',
      port,
      clock: () => performance.now(),
      logger: createRecordingLogger(),
      onReport: (receivedReport) => received.push(receivedReport),
      onPeerLost: (router) => lostRouters.push(router),
    });
  const receiver = await create(portB);
  const sender = await create(portA);
  sender.setAddresses(new Set([`127.0.0.1:${portB}`]));
  await waitUntil(() => {
    sender.broadcast(report);
    return received.length > 0;
  });
  assert.deepEqual(received[0], report);
  sender.close();
  await waitUntil(() => lostRouters.length === 1);
  assert.deepEqual(lostRouters, ['r1/1']);
  const restartedSender = await create(portA);
  restartedSender.setAddresses(new Set([`127.0.0.1:${portB}`]));
  const receivedBefore = received.length;
  await waitUntil(() => {
    restartedSender.broadcast(report);
    return received.length > receivedBefore;
  });
  restartedSender.close();
  receiver.close();
});
