import assert from 'node:assert/strict';
import { test } from 'node:test';

import fc from 'fast-check';

import { POOL, createRouterWorld } from './router-world.js';
import type { Fate, RouterWorld } from './router-world.js';

interface Action {
  kind: keyof typeof actions;
  pick: number;
  fate: Fate;
}

const pickOf = <T>(items: readonly T[], pick: number): T | undefined => items[pick % items.length];

function link(world: RouterWorld): string {
  const id = `l${world.credits.size + world.nowMs}-${world.attempts.size}`;
  if (world.credits.has(id)) return id;
  world.credits.set(id, { left: 0, epochAttempts: new Set() });
  const place = { dataUrl: 'http://sidecar', incarnation: id, distance: 'same-zone' as const };
  world.send({ kind: 'sidecar-linked', link: id, backend: id, pool: POOL, ...place });
  return id;
}

function giveCredits(world: RouterWorld, to: string, credits: number): void {
  world.credits.set(to, { left: credits, epochAttempts: new Set() });
  const message = { kind: 'credits' as const, credits, poolVirtualTimeMs: 0 };
  world.send({ kind: 'message', link: to, message });
}

const actions = {
  arrive: (world: RouterWorld, { pick, fate }: Action) =>
    world.arrive(`a${pick % 3}`, fate.headRelayed),
  gone(world: RouterWorld, { pick }: Action) {
    const request = pickOf([...world.requests.keys()], pick);
    if (request !== undefined) world.leave(request);
  },
  link(world: RouterWorld) {
    link(world);
  },
  unlink(world: RouterWorld, { pick }: Action) {
    const id = pickOf([...world.credits.keys()], pick);
    if (id === undefined) return;
    world.credits.delete(id);
    world.send({ kind: 'sidecar-unlinked', link: id });
  },
  credits(world: RouterWorld, { pick, fate }: Action) {
    const id = pickOf([...world.credits.keys()], pick);
    if (id !== undefined) giveCredits(world, id, fate.choice % 4);
  },
  grant(world: RouterWorld, { pick, fate }: Action) {
    const id = pickOf([...world.credits.keys()], pick);
    if (id === undefined) return;
    const message = { kind: 'grant' as const, grant: pick, account: `a${fate.choice % 3}` };
    world.send({
      kind: 'message',
      link: id,
      message: { ...message, ttlMs: 1000, poolVirtualTimeMs: 0 },
    });
  },
  leaving(world: RouterWorld, { pick, fate }: Action) {
    const id = pickOf([...world.credits.keys()], pick);
    if (id === undefined) return;
    const message = { kind: 'leaving' as const, leaving: fate.headRelayed };
    world.send({ kind: 'message', link: id, message });
  },
  job(world: RouterWorld, { pick, fate }: Action) {
    const job = pickOf(world.jobs, pick);
    if (job) world.endJob(job, fate);
  },
  tick(world: RouterWorld, { pick }: Action) {
    world.nowMs += pick * 10;
    world.send({ kind: 'tick' });
  },
  stop: (world: RouterWorld) => world.send({ kind: 'stop' }),
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
      pick: fc.nat(50),
      fate: fc.record(
        { choice: fc.nat(9), slotMs: fc.nat(3000), headRelayed: fc.boolean() },
        { noNullPrototype: true },
      ),
    },
    { noNullPrototype: true },
  ),
  { minLength: 5, maxLength: 120 },
);

/** Serves or refuses all that is left. */
function finish(world: RouterWorld): void {
  world.send({ kind: 'stop' });
  for (let rounds = 0; rounds < 400 && world.state.requests.size > 0; rounds += 1) {
    const [job] = world.jobs;
    if (job) world.endJob(job, { choice: 9, slotMs: 50, headRelayed: false });
    world.nowMs += 100;
    world.send({ kind: 'tick' });
  }
  while (world.jobs[0]) world.endJob(world.jobs[0], { choice: 9, slotMs: 50, headRelayed: false });
  assert.equal(world.state.requests.size, 0, 'a request stays for ever');
  world.checkEnd();
}

test('over any sequence of events each request gets one truthful end and is charged its slot time', () => {
  fc.assert(
    fc.property(schedules, (schedule) => {
      const world = createRouterWorld();
      link(world);
      schedule.forEach((action) => actions[action.kind](world, action));
      finish(world);
    }),
    { seed: 511, numRuns: 1500, includeErrorInReport: true },
  );
});
