/** Guards against routers that have no news of others until a link that has gone silent times out. */
import assert from 'node:assert/strict';
import { mock, test } from 'node:test';
import { setImmediate as nextIteration } from 'node:timers/promises';
import { createPreferredLink } from '../../src/peers/preferred-link.js';
import { LinkRole, LIVENESS_CHECK_PERIOD_MS } from '../../src/peers/types.js';
import type { LinkListener, OpenLink } from '../../src/peers/types.js';
import { createRecordingLogger } from '../standins/recording-logger.js';
import { createVirtualNetwork } from '../store/virtual-links.js';

const LATENCY_MS = 10;
const ignore = (): void => undefined;

/** Link from one router to another, of which the received texts and the open connections are recorded on both sides. */
function createLinkedRouters() {
  let nowMs = 0;
  const clock = (): number => nowMs;
  const network = createVirtualNetwork(clock, () => LATENCY_MS);
  const opened: OpenLink[] = [];
  const received: string[] = [];
  const closed: OpenLink[] = [];
  const accepted = new Set<OpenLink>();
  const acceptListener: LinkListener = {
    onOpen: (link) => accepted.add(link),
    onMessage: ignore,
    onClosed: (link) => accepted.delete(link),
  };
  const acceptor = network.listen('hub:1', () => true, {
    [LinkRole.Member]: acceptListener,
    [LinkRole.Hub]: acceptListener,
  });
  let linkCount = 0;
  const nextLinkNumber = (): number => {
    linkCount += 1;
    return linkCount;
  };
  const link = createPreferredLink(
    { dial: network.dial, clock, logger: createRecordingLogger(), self: 'r', nextLinkNumber },
    LinkRole.Member,
    {
      onOpen: (open) => opened.push(open),
      onMessage: (_open, bytes) => received.push(bytes.toString()),
      onClosed: (open) => closed.push(open),
    },
    ignore,
  );
  link.setCandidates([{ name: 'hub', address: 'hub:1' }]);

  async function advance(ms: number): Promise<void> {
    for (const endMs = nowMs + ms; nowMs < endMs;) {
      nowMs += LATENCY_MS;
      mock.timers.tick(LATENCY_MS);
      const report = Buffer.from(`${nowMs}`);
      accepted.forEach((open) => open.send(report));
      if (nowMs % LIVENESS_CHECK_PERIOD_MS === 0) {
        acceptor.check();
        link.check();
        await nextIteration();
      }
    }
  }

  return { network, advance, opened, closed, received, accepted, now: clock };
}

test('a link that goes silent is replaced by another one to the same router within a second, and counts once', async (t) => {
  mock.timers.enable({ apis: ['setTimeout'] });
  t.after(() => mock.timers.reset());
  const { network, advance, opened, closed, received, accepted, now } = createLinkedRouters();
  await advance(1000);
  network.connections().forEach((connection) => {
    connection.isSilent = true;
  });
  const silentAtMs = now();
  await advance(1000);
  assert.deepEqual([opened.length, closed.length, accepted.size], [2, 1, 1]);
  const first = received.map(Number).find((ms) => ms > silentAtMs + LATENCY_MS);
  assert.ok(first !== undefined, 'nothing received');
  // It stays, and the hub doesn't take the silent one for a second link of the router.
  await advance(5000);
  assert.deepEqual([opened.length, closed.length, accepted.size], [2, 1, 1]);
});

test('a link with traffic is not replaced', async (t) => {
  mock.timers.enable({ apis: ['setTimeout'] });
  t.after(() => mock.timers.reset());
  const { advance, opened, closed } = createLinkedRouters();
  await advance(10_000);
  assert.deepEqual([opened.length, closed.length], [1, 0]);
});
