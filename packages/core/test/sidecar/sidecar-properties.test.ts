import assert from 'node:assert/strict';
import { test } from 'node:test';

import fc from 'fast-check';

import { SLOTS, createSidecarHarness } from './sidecar-harness.js';
import type { SidecarHarness } from './sidecar-harness.js';

interface Action {
  kind: keyof typeof actions;
  index: number;
  amount: number;
}

const itemAt = <T>(items: readonly T[], index: number): T | undefined =>
  items[index % items.length];

function offerAttempt(
  harness: SidecarHarness,
  attempt: string,
  link: string,
  grant: number | 'credit',
) {
  const incarnation = harness.links.get(link) ?? 'gone';
  const isRepeat = harness.offeredAttempts.includes(attempt);
  harness.offeredAttempts.push(attempt);
  const effects = harness.applyEvent({
    kind: 'attempt-offered',
    offer: { attempt, incarnation, grant, account: 'a1', estimateMs: 100 },
  });
  const refused = effects.some((e) => e.kind === 'refuse' && e.attempt === attempt);
  if (refused || typeof grant !== 'number') return;
  assert.ok(!isRepeat, 'a repeated offer was admitted');
  assert.ok(!harness.usedGrants.has(grant), 'a grant was used twice');
  harness.usedGrants.add(grant);
}

function newAttempt(harness: SidecarHarness): string {
  const attempt = `r.${harness.nextAttempt}`;
  harness.nextAttempt += 1;
  return attempt;
}

const actions = {
  open(harness: SidecarHarness) {
    const link = `l${harness.nextLink}`;
    harness.nextLink += 1;
    harness.links.set(link, `inc-${link}`);
    const distance = 'same-zone' as const;
    harness.applyEvent({
      kind: 'link-opened',
      link,
      router: link,
      incarnation: `inc-${link}`,
      distance,
    });
  },
  close(harness: SidecarHarness, { index }: Action) {
    const link = itemAt([...harness.links.keys()], index);
    if (link === undefined) return;
    harness.links.delete(link);
    harness.applyEvent({ kind: 'link-closed', link });
  },
  demand(harness: SidecarHarness, { index, amount }: Action) {
    const link = itemAt([...harness.links.keys()], index);
    if (link === undefined) return;
    const account = `a${amount % 3}`;
    const waiting = amount % 5;
    const entry = { account, waiting, virtualTimeMs: amount * 10, estimateMs: 100, share: 1 };
    harness.applyEvent({
      kind: 'message',
      link,
      message: { kind: 'demand', full: amount % 4 === 0, poolVirtualTimeMs: 0, entries: [entry] },
    });
  },
  useGrant(harness: SidecarHarness, { index }: Action) {
    const issuedGrant = itemAt(harness.issuedGrants, index);
    if (issuedGrant)
      offerAttempt(harness, newAttempt(harness), issuedGrant.link, issuedGrant.grant);
  },
  unknownGrant(harness: SidecarHarness, { amount }: Action) {
    offerAttempt(harness, newAttempt(harness), 'none', 1000 + amount);
  },
  /** Offers another router's grant: an outdated grant number of an earlier sidecar incarnation may match a current one. */
  foreignGrant(harness: SidecarHarness, { index }: Action) {
    const issuedGrant = itemAt(harness.issuedGrants, index);
    if (!issuedGrant) return;
    const attempt = newAttempt(harness);
    offerAttempt(harness, attempt, 'other-router', issuedGrant.grant);
    assert.ok(
      !harness.state.active.has(attempt),
      "an attempt was admitted with another router's grant",
    );
  },
  decline(harness: SidecarHarness, { index }: Action) {
    const issuedGrant = itemAt(harness.issuedGrants, index);
    if (!issuedGrant || !harness.links.has(issuedGrant.link)) return;
    const message = { kind: 'decline' as const, grant: issuedGrant.grant };
    harness.applyEvent({ kind: 'message', link: issuedGrant.link, message });
  },
  useCredit(harness: SidecarHarness, { index }: Action) {
    const link = itemAt([...harness.links.keys()], index);
    if (link !== undefined) offerAttempt(harness, newAttempt(harness), link, 'credit');
  },
  repeat(harness: SidecarHarness, { index }: Action) {
    const attempt = itemAt(harness.offeredAttempts, index);
    if (attempt !== undefined) offerAttempt(harness, attempt, 'none', 'credit');
  },
  queryOutcome(harness: SidecarHarness, { index, amount }: Action) {
    const attempt = amount % 2 === 0 ? newAttempt(harness) : itemAt(harness.offeredAttempts, index);
    if (attempt === undefined) return;
    const queryId = harness.nextQueryId;
    harness.nextQueryId += 1;
    const effects = harness.applyEvent({
      kind: 'outcome-asked',
      attempt,
      queryId,
      sameIncarnation: true,
    });
    const answer = effects.find((e) => e.kind === 'tell-outcome');
    assert.ok(answer?.kind === 'tell-outcome');
    if (harness.runningAttempts.has(attempt)) assert.equal(answer.outcome, 'running');
    if (answer.outcome !== 'barred') return;
    assert.ok(
      !harness.startedAttempts.has(attempt),
      `${attempt} was reported as not run after it had started`,
    );
    harness.attemptsNotRun.add(attempt);
    harness.offeredAttempts.push(attempt);
  },
  cancel(harness: SidecarHarness, { index, amount }: Action) {
    const attempt = amount % 3 === 0 ? newAttempt(harness) : itemAt(harness.offeredAttempts, index);
    if (attempt === undefined) return;
    harness.applyEvent({ kind: 'attempt-cancelled', attempt });
    if (!harness.startedAttempts.has(attempt)) harness.cancelledEarly.add(attempt);
    harness.offeredAttempts.push(attempt);
  },
  end(harness: SidecarHarness, { index, amount }: Action) {
    const attempt = itemAt([...harness.runningAttempts], index);
    if (attempt === undefined) return;
    harness.runningAttempts.delete(attempt);
    const ran = amount % 6 !== 0;
    harness.applyEvent({ kind: 'attempt-ended', attempt, ran });
    if (ran) return;
    // The backend server refused the connection, so the attempt is reported as not run.
    harness.startedAttempts.delete(attempt);
    harness.attemptsNotRun.add(attempt);
  },
  orphan(harness: SidecarHarness, { index }: Action) {
    const attempt = itemAt(harness.offeredAttempts, index);
    if (attempt !== undefined) harness.applyEvent({ kind: 'attempt-orphaned', attempt });
  },
  tick(harness: SidecarHarness, { amount }: Action) {
    harness.nowMs += amount * 20;
    harness.applyEvent({ kind: 'tick' });
  },
  longPause(harness: SidecarHarness) {
    harness.nowMs += 6000;
    harness.applyEvent({ kind: 'tick' });
  },
  configure(harness: SidecarHarness, { amount }: Action) {
    const slots = 1 + (amount % SLOTS);
    const draining = amount % 3 === 0;
    harness.applyEvent({ kind: 'configured', pool: 'p', slots, fleetSlots: 10, draining });
  },
  syncBackend(harness: SidecarHarness) {
    harness.applyEvent({ kind: 'backend-synced' });
  },
  loseBackend(harness: SidecarHarness) {
    harness.applyEvent({ kind: 'backend-lost' });
  },
  stop(harness: SidecarHarness) {
    harness.applyEvent({ kind: 'stop' });
  },
};

const WEIGHTS: [Action['kind'], number][] = [
  ['open', 2],
  ['close', 1],
  ['demand', 8],
  ['useGrant', 8],
  ['unknownGrant', 1],
  ['foreignGrant', 1],
  ['decline', 2],
  ['useCredit', 4],
  ['repeat', 2],
  ['queryOutcome', 3],
  ['cancel', 3],
  ['end', 6],
  ['orphan', 1],
  ['tick', 4],
  ['longPause', 1],
  ['configure', 1],
  ['syncBackend', 3],
  ['loseBackend', 1],
  ['stop', 0.2],
];

const schedules = fc.array(
  fc.record(
    {
      kind: fc.oneof(
        ...WEIGHTS.map(([kind, weight]) => ({ weight: weight * 10, arbitrary: fc.constant(kind) })),
      ),
      index: fc.nat(50),
      amount: fc.nat(20),
    },
    { noNullPrototype: true },
  ),
  { minLength: 5, maxLength: 120 },
);

/** Ends all attempts and checks that the sidecar stops without open grants. */
function drain(harness: SidecarHarness): void {
  harness.applyEvent({ kind: 'stop' });
  for (let round = 0; round < 100 && !harness.stopped; round += 1) {
    [...harness.runningAttempts].forEach((attempt) => {
      harness.runningAttempts.delete(attempt);
      harness.applyEvent({ kind: 'attempt-ended', attempt, ran: true });
    });
    harness.nowMs += 100;
    harness.applyEvent({ kind: 'tick' });
  }
  assert.ok(harness.stopped, 'the sidecar did not stop');
  assert.equal(harness.state.grants.size, 0);
}

test('runs each attempt at most once and never grants more slots than allowed, for random event sequences', () => {
  fc.assert(
    fc.property(schedules, (schedule) => {
      const harness = createSidecarHarness();
      harness.applyEvent({ kind: 'backend-synced' });
      actions.open(harness);
      schedule.forEach((action) => actions[action.kind](harness, action));
      drain(harness);
    }),
    { seed: 501, numRuns: 1500 },
  );
});
