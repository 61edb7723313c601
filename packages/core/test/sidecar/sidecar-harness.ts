/** Test harness of the sidecar reducer: simulates its routers and backend server, and checks invariants after each event. */
import assert from 'node:assert/strict';

import { createSidecarState, sidecarReducer } from '../../src/sidecar/index.js';
import type { SidecarEffect, SidecarEvent } from '../../src/sidecar/index.js';

type WithoutTime<T> = T extends unknown ? Omit<T, 'nowMs'> : never;
export type UntimedEvent = WithoutTime<SidecarEvent>;

export const SLOTS = 3;
export const QUEUE_AHEAD = 1;
export const JOURNAL_KEEP_MS = 5000;

/** Creates a harness without links; `applyEvent` applies an event at the current time and checks its effects. */
export function createSidecarHarness() {
  const state = createSidecarState({
    backend: 'b',
    pool: 'p',
    slots: SLOTS,
    queueAhead: QUEUE_AHEAD,
    journalKeepMs: JOURNAL_KEEP_MS,
  });
  const harness = {
    state,
    nowMs: 0,
    /** Router incarnations of the open links, by link. */
    links: new Map<string, string>(),
    /** All issued grants with their link, including those used or expired. */
    issuedGrants: [] as { grant: number; link: string }[],
    /** Grant numbers issued so far, to detect duplicates. */
    issuedGrantNumbers: new Set<number>(),
    usedGrants: new Set<number>(),
    /** Attempts offered, queried, or cancelled so far, for late and repeated offers. */
    offeredAttempts: [] as string[],
    startedAttempts: new Set<string>(),
    runningAttempts: new Set<string>(),
    /** Attempts reported to a router as not run. */
    attemptsNotRun: new Set<string>(),
    /** Attempts cancelled before they started. */
    cancelledEarly: new Set<string>(),
    stopped: false,
    effects: [] as SidecarEffect[],
    nextQueryId: 1,
    nextAttempt: 1,
    nextLink: 1,
    applyEvent,
  };

  function applyEvent(event: UntimedEvent): SidecarEffect[] {
    const admittedBefore = state.active.size;
    const { effects } = sidecarReducer(state, { ...event, nowMs: harness.nowMs });
    harness.effects = effects;
    effects.forEach(checkEffect);
    const isDraining = state.stopping || state.drained;
    if (isDraining && state.active.size > admittedBefore) {
      assert.ok(event.kind === 'attempt-offered' && typeof event.offer.grant === 'number');
    }
    assert.equal(state.running, harness.runningAttempts.size);
    assert.equal(state.active.size, state.running + state.staged.length);
    return effects;
  }

  const effectChecks: Partial<Record<SidecarEffect['kind'], (effect: never) => void>> = {
    run: ({ attempt }: { attempt: string }) => {
      assert.ok(!harness.startedAttempts.has(attempt), `${attempt} was started twice`);
      assert.ok(
        !harness.attemptsNotRun.has(attempt),
        `${attempt} was started after it was reported as not run`,
      );
      assert.ok(
        !harness.cancelledEarly.has(attempt),
        `${attempt} was started after its cancellation`,
      );
      harness.startedAttempts.add(attempt);
      harness.runningAttempts.add(attempt);
      assert.ok(
        harness.runningAttempts.size <= state.options.slots + QUEUE_AHEAD,
        'too many attempts at the backend server',
      );
    },
    refuse: ({ attempt, reason }: { attempt: string; reason: string }) => {
      // A repeated offer of an attempt that ran is refused too; the response belongs to its first offer.
      if (!harness.startedAttempts.has(attempt)) harness.attemptsNotRun.add(attempt);
      else assert.equal(reason, 'barred');
    },
    'tell-outcome': () => undefined,
    send: ({ link, message }: Extract<SidecarEffect, { kind: 'send' }>) => {
      assert.ok(harness.links.has(link), 'message sent over a closed link');
      if (message.kind === 'credits' && (state.stopping || state.drained)) {
        assert.equal(message.credits, 0);
      }
      if (message.kind !== 'grant') return;
      assert.ok(
        !state.stopping && !state.drained && state.synced,
        'grant issued while draining or not synced',
      );
      assert.ok(!harness.issuedGrantNumbers.has(message.grant), 'grant number issued twice');
      harness.issuedGrantNumbers.add(message.grant);
      harness.issuedGrants.push({ grant: message.grant, link });
    },
    stopped: () => {
      assert.ok(state.stopping);
      assert.equal(state.active.size, 0);
      assert.equal(state.grants.size, 0, 'stopped with an open grant');
      harness.stopped = true;
    },
  };

  function checkEffect(effect: SidecarEffect): void {
    effectChecks[effect.kind]?.(effect as never);
  }

  return harness;
}

export type SidecarHarness = ReturnType<typeof createSidecarHarness>;
