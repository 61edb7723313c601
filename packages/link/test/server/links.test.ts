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

test('messages are delivered in order in both directions, and both sides count the same traffic', async () => {
  const serverCalls = recordCalls();
  const dialerCalls = recordCalls();
  const server = await createLinkServer(createOptions('server', serverCalls));
  const dialer = createLinkDialer({ ...createOptions('dialer', dialerCalls), random: () => 0 });
  try {
    assert.deepEqual(dialer.dial(`127.0.0.1:${server.port}`), { ok: true });
    await waitUntil(() => serverCalls.opened.length === 1 && dialerCalls.opened.length === 1);
    const [serverLink] = serverCalls.opened;
    const [dialerLink] = dialerCalls.opened;
    assert.equal(serverLink!.peer.id, 'dialer');
    assert.equal(dialerLink!.peer.id, 'server');

    const sent = [1, 2, 3].map((id): LinkMessage => ({ ...grant, grant: id }));
    sent.forEach((message) => serverLink!.send(message));
    dialerLink!.send({ kind: 'decline', grant: 7 });
    await waitUntil(() => dialerCalls.messages.length === 3 && serverCalls.messages.length === 1);
    assert.deepEqual(dialerCalls.messages, sent);
    assert.deepEqual(serverCalls.messages, [{ kind: 'decline', grant: 7 }]);
    assert.equal(serverLink!.counters().messagesSent, 3);
    // While a heartbeat is in transit, the counters of both sides differ.
    const bytesReceived = () =>
      [serverLink!, dialerLink!].map((link) => link.counters().bytesReceived);
    const bytesSent = () => [dialerLink!, serverLink!].map((link) => link.counters().bytesSent);
    await waitUntil(() => bytesReceived().join() === bytesSent().join());
    assert.deepEqual(server.counters(), serverLink!.counters());
  } finally {
    await dialer.close();
    await server.close();
  }
  assert.deepEqual(dialerCalls.closed, ['closed']);
  assert.equal(serverCalls.closed.length, 1);
  assert.deepEqual(dialer.counters(), dialerCalls.opened[0]!.counters());
});
