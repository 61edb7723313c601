/** A sidecar's reducer with routers and a backend server played by a test; checks what must always hold. */
import assert from 'node:assert/strict';

import { createSidecarState, sidecarReducer } from '../../src/sidecar/index.js';
import type { SidecarEffect, SidecarEvent } from '../../src/sidecar/index.js';

type Plain<T> = T extends unknown ? Omit<T, 'nowMs'> : never;
export type PlainEvent = Plain<SidecarEvent>;

export const SLOTS = 3;
export const QUEUE_AHEAD = 1;
export const JOURNAL_KEEP_MS = 5000;

/** Creates a world without links; `send` applies an event at the present time and checks its effects. */
export function createSidecarWorld() {
  const state = createSidecarState({
    backend: 'b',
    pool: 'p',
    slots: SLOTS,
    queueAhead: QUEUE_AHEAD,
    journalKeepMs: JOURNAL_KEEP_MS,
  });
  const world = {
    state,
    nowMs: 0,
    /** Links by name, open ones. */
    links: new Map<string, string>(),
    /** Grants that routers hold, with the link they came over. */
    heldGrants: [] as { grant: number; link: string }[],
    granted: new Set<number>(),
    usedGrants: new Set<number>(),
    /** Attempts offered so far, for late and repeated offers. */
    offered: [] as string[],
    ran: new Set<string>(),
    runs: new Set<string>(),
    /** Attempts of which a router was told that they have not run. */
    notRun: new Set<string>(),
    /** Attempts cancelled before they arrived. */
    cancelled: new Set<string>(),
    stopped: false,
    effects: [] as SidecarEffect[],
    nextAsk: 1,
    nextAttempt: 1,
    nextLink: 1,
    send,
  };

  function send(event: PlainEvent): SidecarEffect[] {
    const admittedBefore = state.active.size;
    const { effects } = sidecarReducer(state, { ...event, nowMs: world.nowMs });
    world.effects = effects;
    effects.forEach(check);
    const isDraining = state.stopping || state.drained;
    if (isDraining && state.active.size > admittedBefore) {
      assert.ok(event.kind === 'attempt-offered' && typeof event.offer.grant === 'number');
    }
    assert.equal(state.running, world.runs.size);
    assert.equal(state.active.size, state.running + state.staged.length);
    return effects;
  }

  const checks: Partial<Record<SidecarEffect['kind'], (effect: never) => void>> = {
    run: ({ attempt }: { attempt: string }) => {
      assert.ok(!world.ran.has(attempt), `${attempt} runs twice`);
      assert.ok(!world.notRun.has(attempt), `${attempt} runs after it was said not to`);
      assert.ok(!world.cancelled.has(attempt), `${attempt} runs after its cancellation`);
      world.ran.add(attempt);
      world.runs.add(attempt);
      assert.ok(world.runs.size <= state.options.slots + QUEUE_AHEAD, 'too many at the backend');
    },
    refuse: ({ attempt, reason }: { attempt: string; reason: string }) => {
      // A repeated offer of an attempt that ran is refused too; its first offer has the answer.
      if (!world.ran.has(attempt)) world.notRun.add(attempt);
      else assert.equal(reason, 'barred');
    },
    'tell-outcome': () => undefined,
    send: ({ link, message }: Extract<SidecarEffect, { kind: 'send' }>) => {
      assert.ok(world.links.has(link), 'message over a closed link');
      if (message.kind === 'credits' && (state.stopping || state.drained)) {
        assert.equal(message.credits, 0);
      }
      if (message.kind !== 'grant') return;
      assert.ok(!state.stopping && !state.drained && state.synced, 'grant while draining');
      assert.ok(!world.granted.has(message.grant), 'slot granted twice');
      world.granted.add(message.grant);
      world.heldGrants.push({ grant: message.grant, link });
    },
    stopped: () => {
      assert.ok(state.stopping);
      assert.equal(state.active.size, 0);
      assert.equal(state.grants.size, 0, 'a grant may still be used');
      world.stopped = true;
    },
  };

  function check(effect: SidecarEffect): void {
    checks[effect.kind]?.(effect as never);
  }

  return world;
}

export type SidecarWorld = ReturnType<typeof createSidecarWorld>;
