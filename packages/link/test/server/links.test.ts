import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { LinkMessage } from '@kingcupsill/core';
import { createLinkDialer, createLinkServer } from '../../src/index.js';
import { createOptions, recordCalls, waitUntil } from '../support/fixtures.js';

const grant: LinkMessage = {
  kind: 'grant',
  grant: 7,
  account: 'opticians',
  ttlMs: 250,
  poolVirtualTimeMs: 12.5,
};

test('messages pass both ways in order, and the traffic is counted on both sides', async () => {
  const serverSide = recordCalls();
  const dialerSide = recordCalls();
  const server = await createLinkServer(createOptions('server', serverSide));
  const dialer = createLinkDialer({ ...createOptions('dialer', dialerSide), random: () => 0 });
  try {
    assert.deepEqual(dialer.dial(`127.0.0.1:${server.port}`), { ok: true });
    await waitUntil(() => serverSide.opened.length === 1 && dialerSide.opened.length === 1);
    const [accepted] = serverSide.opened;
    const [dialed] = dialerSide.opened;
    assert.equal(accepted!.peer.id, 'dialer');
    assert.equal(dialed!.peer.id, 'server');

    const sent = [1, 2, 3].map((id): LinkMessage => ({ ...grant, grant: id }));
    sent.forEach((message) => accepted!.send(message));
    dialed!.send({ kind: 'decline', grant: 7 });
    await waitUntil(() => dialerSide.messages.length === 3 && serverSide.messages.length === 1);
    assert.deepEqual(dialerSide.messages, sent);
    assert.deepEqual(serverSide.messages, [{ kind: 'decline', grant: 7 }]);
    assert.equal(accepted!.counters().messagesSent, 3);
    // Heartbeats may be under way; between two of them both sides agree.
    const inbound = () => [accepted!, dialed!].map((link) => link.counters().bytesReceived);
    const outbound = () => [dialed!, accepted!].map((link) => link.counters().bytesSent);
    await waitUntil(() => inbound().join() === outbound().join());
    assert.deepEqual(server.counters(), accepted!.counters());
  } finally {
    await dialer.close();
    await server.close();
  }
  assert.deepEqual(dialerSide.closed, ['closed']);
  assert.equal(serverSide.closed.length, 1);
  assert.deepEqual(dialer.counters(), dialerSide.opened[0]!.counters());
});
