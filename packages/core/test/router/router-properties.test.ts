import assert from 'node:assert/strict';
import { test } from 'node:test';

import fc from 'fast-check';

import { POOL, createRouterHarness } from './router-harness.js';
import type { JobOutcome, RouterHarness } from './router-harness.js';

interface Action {
  kind: keyof typeof actions;
  index: number;
  outcome: JobOutcome;
}

const itemAt = <T>(items: readonly T[], index: number): T | undefined =>
  items[index % items.length];

function openLink(harness: RouterHarness): string {
  const id = `l${harness.credits.size + harness.nowMs}-${harness.attempts.size}`;
  if (harness.credits.has(id)) return id;
  harness.credits.set(id, { limit: 0, attempts: new Set() });
  const address = { dataUrl: 'http://sidecar', incarnation: id, distance: 'same-zone' as const };
  harness.applyEvent({ kind: 'sidecar-linked', link: id, backend: id, pool: POOL, ...address });
  return id;
}

function sendCredits(harness: RouterHarness, link: string, credits: number): void {
  harness.credits.set(link, { limit: credits, attempts: new Set() });
  const message = { kind: 'credits' as const, credits, poolVirtualTimeMs: 0 };
  harness.applyEvent({ kind: 'message', link, message });
}

const actions = {
  arrive: (harness: RouterHarness, { index, outcome }: Action) =>
    harness.submit(`a${index % 3}`, outcome.headRelayed),
  gone(harness: RouterHarness, { index }: Action) {
    const request = itemAt([...harness.requests.keys()], index);
    if (request !== undefined) harness.disconnect(request);
  },
  link(harness: RouterHarness) {
    openLink(harness);
  },
  unlink(harness: RouterHarness, { index }: Action) {
    const id = itemAt([...harness.credits.keys()], index);
    if (id === undefined) return;
    harness.credits.delete(id);
    harness.applyEvent({ kind: 'sidecar-unlinked', link: id });
  },
  credits(harness: RouterHarness, { index, outcome }: Action) {
    const id = itemAt([...harness.credits.keys()], index);
    if (id !== undefined) sendCredits(harness, id, outcome.choice % 4);
  },
  grant(harness: RouterHarness, { index, outcome }: Action) {
    const id = itemAt([...harness.credits.keys()], index);
    if (id === undefined) return;
    const message = { kind: 'grant' as const, grant: index, account: `a${outcome.choice % 3}` };
    harness.applyEvent({
      kind: 'message',
      link: id,
      message: { ...message, ttlMs: 1000, poolVirtualTimeMs: 0 },
    });
  },
  leaving(harness: RouterHarness, { index, outcome }: Action) {
    const id = itemAt([...harness.credits.keys()], index);
    if (id === undefined) return;
    const message = { kind: 'leaving' as const, leaving: outcome.headRelayed };
    harness.applyEvent({ kind: 'message', link: id, message });
  },
  job(harness: RouterHarness, { index, outcome }: Action) {
    const job = itemAt(harness.jobs, index);
    if (job) harness.endJob(job, outcome);
  },
  tick(harness: RouterHarness, { index }: Action) {
    harness.nowMs += index * 10;
    harness.applyEvent({ kind: 'tick' });
  },
  stop: (harness: RouterHarness) => harness.applyEvent({ kind: 'stop' }),
};

const WEIGHTS: [Action['kind'], number][] = [
  ['arrive', 80],
  ['gone', 15],
  ['link', 15],
  ['unlink', 5],
  ['credits', 30],
  ['grant', 60],
  ['leaving', 5],
  ['job', 120],
  ['tick', 30],
  ['stop', 2],
];

const schedules = fc.array(
  fc.record(
    {
      kind: fc.oneof(
        ...WEIGHTS.map(([kind, weight]) => ({ weight, arbitrary: fc.constant(kind) })),
      ),
      index: fc.nat(50),
      outcome: fc.record(
        { choice: fc.nat(9), slotMs: fc.nat(3000), headRelayed: fc.boolean() },
        { noNullPrototype: true },
      ),
    },
    { noNullPrototype: true },
  ),
  { minLength: 5, maxLength: 120 },
);

/** Stops the router and ends all remaining jobs and requests. */
function drain(harness: RouterHarness): void {
  harness.applyEvent({ kind: 'stop' });
  for (let round = 0; round < 400 && harness.state.requests.size > 0; round += 1) {
    const [job] = harness.jobs;
    if (job) harness.endJob(job, { choice: 9, slotMs: 50, headRelayed: false });
    harness.nowMs += 100;
    harness.applyEvent({ kind: 'tick' });
  }
  while (harness.jobs[0])
    harness.endJob(harness.jobs[0], { choice: 9, slotMs: 50, headRelayed: false });
  assert.equal(harness.state.requests.size, 0, 'requests left after the router stopped');
  harness.checkEnd();
}

test('ends each request once with its true outcome and charges its slot time, for random event sequences', () => {
  fc.assert(
    fc.property(schedules, (schedule) => {
      const harness = createRouterHarness();
      openLink(harness);
      schedule.forEach((action) => actions[action.kind](harness, action));
      drain(harness);
    }),
    { seed: 511, numRuns: 1500, includeErrorInReport: true },
  );
});
