import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { RouterReport } from '@kingcupsill/core/direct';
import { createPeerLinks } from '../../src/peers/peer-links.js';
import type { PeerLinks } from '../../src/peers/peer-links.js';
import { createReportCodec } from '../../src/peers/report-codec.js';
import { freePort, until } from '../standins/deployment.js';
import { createRecordingLogger } from '../standins/recording-logger.js';

const report: RouterReport = {
  router: 'r1/1',
  loads: [{ serverKey: 'e1@1', running: 3, sentTokens: 900, promptParts: [['ab', 300]] }],
  accounts: [['kingston', 1000, 800]],
};
test('a report comes out as it went in', () => {
  const codec = createReportCodec();
  assert.deepEqual(codec.decode(codec.encode(report)), report);
  assert.throws(() => codec.decode(Buffer.from([0xc1])));
});

test('reports reach a peer over a link, a peer that goes is told, and one that returns is linked again', async () => {
  const [portA, portB] = [await freePort(), await freePort()];
  const seen: RouterReport[] = [];
  const gone: string[] = [];
  const create = (port: number): Promise<PeerLinks> =>
    createPeerLinks({
      host: '127.0.0.1',
      port,
      clock: () => performance.now(),
      logger: createRecordingLogger(),
      onReport: (each) => seen.push(each),
      onPeerLost: (router) => gone.push(router),
    });
  const receiver = await create(portB);
  const first = await create(portA);
  first.setAddresses(new Set([`127.0.0.1:${portB}`]));
  await until(() => {
    first.broadcast(report);
    return seen.length > 0;
  });
  assert.deepEqual(seen[0], report);
  first.close();
  await until(() => gone.length === 1);
  assert.deepEqual(gone, ['r1/1']);
  const again = await create(portA);
  again.setAddresses(new Set([`127.0.0.1:${portB}`]));
  const before = seen.length;
  await until(() => {
    again.broadcast(report);
    return seen.length > before;
  });
  again.close();
  receiver.close();
});
