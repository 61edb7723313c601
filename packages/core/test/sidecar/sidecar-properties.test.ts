import assert from 'node:assert/strict';
import { test } from 'node:test';

import fc from 'fast-check';

import { SLOTS, createSidecarWorld } from './sidecar-world.js';
import type { SidecarWorld } from './sidecar-world.js';

interface Action {
  kind: keyof typeof actions;
  pick: number;
  amount: number;
}

const pickOf = <T>(items: readonly T[], pick: number): T | undefined => items[pick % items.length];

function offer(world: SidecarWorld, attempt: string, link: string, grant: number | 'credit') {
  const incarnation = world.links.get(link) ?? 'gone';
  const isRepeat = world.offered.includes(attempt);
  world.offered.push(attempt);
  const effects = world.send({
    kind: 'attempt-offered',
    offer: { attempt, incarnation, grant, account: 'a1', estimateMs: 100 },
  });
  const refused = effects.some((e) => e.kind === 'refuse' && e.attempt === attempt);
  if (refused || typeof grant !== 'number') return;
  assert.ok(!isRepeat, 'a repeated offer was admitted');
  assert.ok(!world.usedGrants.has(grant), 'a grant was used twice');
  world.usedGrants.add(grant);
}

function newAttempt(world: SidecarWorld): string {
  const attempt = `r.${world.nextAttempt}`;
  world.nextAttempt += 1;
  return attempt;
}

const actions = {
  open(world: SidecarWorld) {
    const link = `l${world.nextLink}`;
    world.nextLink += 1;
    world.links.set(link, `inc-${link}`);
    const distance = 'same-zone' as const;
    world.send({ kind: 'link-opened', link, router: link, incarnation: `inc-${link}`, distance });
  },
  close(world: SidecarWorld, { pick }: Action) {
    const link = pickOf([...world.links.keys()], pick);
    if (link === undefined) return;
    world.links.delete(link);
    world.send({ kind: 'link-closed', link });
  },
  demand(world: SidecarWorld, { pick, amount }: Action) {
    const link = pickOf([...world.links.keys()], pick);
    if (link === undefined) return;
    const account = `a${amount % 3}`;
    const waiting = amount % 5;
    const entry = { account, waiting, virtualTimeMs: amount * 10, estimateMs: 100, share: 1 };
    world.send({
      kind: 'message',
      link,
      message: { kind: 'demand', full: amount % 4 === 0, poolVirtualTimeMs: 0, entries: [entry] },
    });
  },
  useGrant(world: SidecarWorld, { pick }: Action) {
    const held = pickOf(world.heldGrants, pick);
    if (held) offer(world, newAttempt(world), held.link, held.grant);
  },
  wrongGrant(world: SidecarWorld, { amount }: Action) {
    offer(world, newAttempt(world), 'none', 1000 + amount);
  },
  /** A router's grant of an earlier sidecar incarnation may have the number of another router's present one. */
  strangersGrant(world: SidecarWorld, { pick }: Action) {
    const held = pickOf(world.heldGrants, pick);
    if (!held) return;
    const attempt = newAttempt(world);
    offer(world, attempt, 'stranger', held.grant);
    assert.ok(!world.state.active.has(attempt), "a stranger used a router's grant");
  },
  decline(world: SidecarWorld, { pick }: Action) {
    const held = pickOf(world.heldGrants, pick);
    if (!held || !world.links.has(held.link)) return;
    const message = { kind: 'decline' as const, grant: held.grant };
    world.send({ kind: 'message', link: held.link, message });
  },
  useCredit(world: SidecarWorld, { pick }: Action) {
    const link = pickOf([...world.links.keys()], pick);
    if (link !== undefined) offer(world, newAttempt(world), link, 'credit');
  },
  repeat(world: SidecarWorld, { pick }: Action) {
    const attempt = pickOf(world.offered, pick);
    if (attempt !== undefined) offer(world, attempt, 'none', 'credit');
  },
  ask(world: SidecarWorld, { pick, amount }: Action) {
    const attempt = amount % 2 === 0 ? newAttempt(world) : pickOf(world.offered, pick);
    if (attempt === undefined) return;
    const ask = world.nextAsk;
    world.nextAsk += 1;
    const effects = world.send({
      kind: 'outcome-asked',
      attempt,
      queryId: ask,
      sameIncarnation: true,
    });
    const told = effects.find((e) => e.kind === 'tell-outcome');
    assert.ok(told?.kind === 'tell-outcome');
    if (world.runs.has(attempt)) assert.equal(told.outcome, 'running');
    if (told.outcome !== 'barred') return;
    assert.ok(!world.ran.has(attempt), `${attempt} ran, but its router hears that it has not`);
    world.notRun.add(attempt);
    world.offered.push(attempt);
  },
  cancel(world: SidecarWorld, { pick, amount }: Action) {
    const attempt = amount % 3 === 0 ? newAttempt(world) : pickOf(world.offered, pick);
    if (attempt === undefined) return;
    world.send({ kind: 'attempt-cancelled', attempt });
    if (!world.ran.has(attempt)) world.cancelled.add(attempt);
    world.offered.push(attempt);
  },
  end(world: SidecarWorld, { pick, amount }: Action) {
    const attempt = pickOf([...world.runs], pick);
    if (attempt === undefined) return;
    world.runs.delete(attempt);
    const ran = amount % 6 !== 0;
    world.send({ kind: 'attempt-ended', attempt, ran });
    if (ran) return;
    // The backend server refused the connection: its router hears that the attempt has not run.
    world.ran.delete(attempt);
    world.notRun.add(attempt);
  },
  orphan(world: SidecarWorld, { pick }: Action) {
    const attempt = pickOf(world.offered, pick);
    if (attempt !== undefined) world.send({ kind: 'attempt-orphaned', attempt });
  },
  tick(world: SidecarWorld, { amount }: Action) {
    world.nowMs += amount * 20;
    world.send({ kind: 'tick' });
  },
  longPause(world: SidecarWorld) {
    world.nowMs += 6000;
    world.send({ kind: 'tick' });
  },
  configure(world: SidecarWorld, { amount }: Action) {
    const slots = 1 + (amount % SLOTS);
    const draining = amount % 3 === 0;
    world.send({ kind: 'configured', pool: 'p', slots, fleetSlots: 10, draining });
  },
  sync(world: SidecarWorld) {
    world.send({ kind: 'backend-synced' });
  },
  lose(world: SidecarWorld) {
    world.send({ kind: 'backend-lost' });
  },
  stop(world: SidecarWorld) {
    world.send({ kind: 'stop' });
  },
};

const WEIGHTS: [Action['kind'], number][] = [
  ['open', 2],
  ['close', 1],
  ['demand', 8],
  ['useGrant', 8],
  ['wrongGrant', 1],
  ['strangersGrant', 1],
  ['decline', 2],
  ['useCredit', 4],
  ['repeat', 2],
  ['ask', 3],
  ['cancel', 3],
  ['end', 6],
  ['orphan', 1],
  ['tick', 4],
  ['longPause', 1],
  ['configure', 1],
  ['sync', 3],
  ['lose', 1],
  ['stop', 0.2],
];

const schedules = fc.array(
  fc.record(
    {
      kind: fc.oneof(
        ...WEIGHTS.map(([kind, weight]) => ({ weight: weight * 10, arbitrary: fc.constant(kind) })),
      ),
      pick: fc.nat(50),
      amount: fc.nat(20),
    },
    { noNullPrototype: true },
  ),
  { minLength: 5, maxLength: 120 },
);

/** Ends everything: every grant must have come back. */
function finish(world: SidecarWorld): void {
  world.send({ kind: 'stop' });
  for (let rounds = 0; rounds < 100 && !world.stopped; rounds += 1) {
    [...world.runs].forEach((attempt) => {
      world.runs.delete(attempt);
      world.send({ kind: 'attempt-ended', attempt, ran: true });
    });
    world.nowMs += 100;
    world.send({ kind: 'tick' });
  }
  assert.ok(world.stopped, 'the sidecar never stops');
  assert.equal(world.state.grants.size, 0);
}

test('over any sequence of events attempts run at most once and slots are never over-granted', () => {
  fc.assert(
    fc.property(schedules, (schedule) => {
      const world = createSidecarWorld();
      world.send({ kind: 'backend-synced' });
      actions.open(world);
      schedule.forEach((action) => actions[action.kind](world, action));
      finish(world);
    }),
    { seed: 501, numRuns: 1500 },
  );
});
