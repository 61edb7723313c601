import assert from 'node:assert/strict';
import { test } from 'node:test';

import fc from 'fast-check';

import { createLeaseState, leaseReducer } from '../../src/index.js';
import type {
  EngineOrder,
  Lease,
  LeaseEffect,
  LeaseEvent,
  LeaseReadOutcome,
  LeaseState,
  LeaseWriteOutcome,
} from '../../src/index.js';

const DURATION_MS = 1000;
const STEP_MS = 20;
const PROCESS_COUNT = 3;
/** Longest way of an order to an engine that does not check numbers; below the margin for it. */
const MAX_UNCHECKED_DELAY_MS = 400;
/** The same for an engine that checks, for which no margin covers it. */
const MAX_CHECKED_DELAY_MS = 3000;

type WriteEffect = Extract<LeaseEffect, { kind: 'store-write' }>;
type Fate = 'ok' | 'answer-lost' | 'late';

/** What happens to one process in one step of the clock. */
interface Incident {
  step: number;
  process: number;
  kind: 'pause' | 'cut-off' | 'fate';
  steps: number;
  fate: Fate;
}

interface Inbox {
  atMs: number;
  event: LeaseEvent;
}

interface Process {
  state: LeaseState;
  /** Own monotonic clock: true time plus this. */
  offsetMs: number;
  pausedUntilMs: number;
  inbox: Inbox[];
  fate: Fate;
  /** Until then its calls to the object service fail. */
  cutOffUntilMs: number;
  /** Decisions that a pause has kept from being carried out. */
  held: LeaseEffect[];
  /** When its latest order reaches the engine; a process gives its orders one by one. */
  orderArrivesAtMs: number;
}

interface Delivery {
  atMs: number;
  fencing: number;
}

const createWorld = (incidents: Incident[], checksFencing: boolean) => {
  const maxDelayMs = checksFencing ? MAX_CHECKED_DELAY_MS : MAX_UNCHECKED_DELAY_MS;
  let stored: { version: number; lease: Lease } | undefined;
  let version = 0;
  let nowMs = 0;
  const lateWrites: { atMs: number; effect: WriteEffect }[] = [];
  const deliveries: Delivery[] = [];
  const processes: Process[] = Array.from({ length: PROCESS_COUNT }, (_, index) => ({
    state: createLeaseState({ name: 'e', holder: `p${index}`, durationMs: DURATION_MS }),
    offsetMs: index * 12_345,
    pausedUntilMs: 0,
    inbox: [],
    fate: 'ok',
    cutOffUntilMs: 0,
    held: [],
    orderArrivesAtMs: 0,
  }));

  const applyWrite = (effect: WriteEffect): LeaseWriteOutcome => {
    if (stored?.version !== effect.version) return { code: 'conflict' };
    version += 1;
    stored = { version, lease: effect.lease };
    return { code: 'ok', version };
  };

  const write = (process: Process, effect: WriteEffect): LeaseWriteOutcome => {
    const { fate } = process;
    process.fate = 'ok';
    if (nowMs < process.cutOffUntilMs) return { code: 'failed' };
    if (fate === 'late') {
      lateWrites.push({ atMs: nowMs + 5 * STEP_MS, effect });
      return { code: 'unknown' };
    }
    const outcome = applyWrite(effect);
    return fate === 'answer-lost' ? { code: 'unknown' } : outcome;
  };

  const readStored = (process: Process): LeaseReadOutcome => {
    if (nowMs < process.cutOffUntilMs) return { code: 'failed' };
    return stored === undefined ? { code: 'absent' } : { code: 'found', ...stored };
  };

  const clock = (process: Process): number => nowMs + process.offsetMs;

  const reply = (process: Process, event: LeaseEvent): void => {
    process.inbox.push({ atMs: nowMs + STEP_MS, event });
  };

  const perform = (process: Process, effect: LeaseEffect): void => {
    if (effect.kind === 'store-read') {
      reply(process, { kind: 'lease-read', nowMs: 0, outcome: readStored(process) });
    } else if (effect.kind === 'store-write') {
      reply(process, { kind: 'lease-written', nowMs: 0, outcome: write(process, effect) });
    } else if (effect.kind === 'give-order' && clock(process) <= effect.notAfterMs) {
      const delayMs = (effect.fencing * 1170 + deliveries.length * 490) % maxDelayMs;
      process.orderArrivesAtMs = nowMs + delayMs;
      deliveries.push({ atMs: nowMs + delayMs, fencing: effect.fencing });
    }
  };

  const feed = (process: Process, event: LeaseEvent): void => {
    const { effects } = leaseReducer(process.state, { ...event, nowMs: clock(process) });
    process.held.push(...effects);
  };

  const stepProcess = (process: Process): void => {
    if (nowMs < process.pausedUntilMs) return;
    process.held.splice(0).forEach((effect) => perform(process, effect));
    const due = process.inbox.filter(({ atMs }) => atMs <= nowMs);
    process.inbox = process.inbox.filter(({ atMs }) => atMs > nowMs);
    due.forEach(({ event }) => feed(process, event));
    const order: EngineOrder = { id: 'o', checksFencing };
    feed(process, { kind: 'tick', nowMs: 0 });
    if (nowMs > process.orderArrivesAtMs) feed(process, { kind: 'order', nowMs: 0, order });
  };

  const suffer = ({ process: index, kind, steps, fate }: Incident): void => {
    const process = processes[index]!;
    if (kind === 'pause') process.pausedUntilMs = nowMs + steps * STEP_MS;
    else if (kind === 'cut-off') process.cutOffUntilMs = nowMs + steps * STEP_MS;
    else process.fate = fate;
  };

  const advance = (step: number): void => {
    nowMs = step * STEP_MS;
    incidents.filter((incident) => incident.step === step).forEach(suffer);
    lateWrites.filter(({ atMs }) => atMs === nowMs).forEach(({ effect }) => applyWrite(effect));
    processes.forEach(stepProcess);
  };

  const run = (steps: number): Delivery[] => {
    processes.forEach((process) => feed(process, { kind: 'wanted', nowMs: 0, wanted: true }));
    for (let step = 0; step < steps; step += 1) advance(step);
    return deliveries.sort((a, b) => a.atMs - b.atMs);
  };
  return { run };
};

const incidentArbitrary: fc.Arbitrary<Incident> = fc.record(
  {
    step: fc.nat(400),
    process: fc.nat(PROCESS_COUNT - 1),
    kind: fc.constantFrom('pause' as const, 'cut-off' as const, 'fate' as const),
    steps: fc.integer({ min: 20, max: 120 }),
    fate: fc.constantFrom<Fate>('answer-lost', 'late'),
  },
  { noNullPrototype: true },
);
const incidentsArbitrary = fc.array(incidentArbitrary, { minLength: 10, maxLength: 40 });

test('an engine that does not check numbers never sees an old holder after a new one', () => {
  let changes = 0;
  fc.assert(
    fc.property(incidentsArbitrary, (incidents) => {
      let newest = 0;
      changes -= 1;
      createWorld(incidents, false)
        .run(450)
        .forEach(({ fencing }) => {
          assert.ok(fencing >= newest, `an order with ${fencing} came after one with ${newest}`);
          if (fencing > newest) changes += 1;
          newest = fencing;
        });
      assert.ok(newest > 0, 'no order was ever given');
    }),
    { seed: 71, numRuns: 1000 },
  );
  assert.ok(changes > 400, `numbers changed ${changes} times only`);
});

test('an engine that checks numbers may be sent an old one, and refuses it', () => {
  let refused = 0;
  fc.assert(
    fc.property(incidentsArbitrary, (incidents) => {
      let newest = 0;
      createWorld(incidents, true)
        .run(450)
        .forEach(({ fencing }) => {
          if (fencing < newest) refused += 1;
          newest = Math.max(newest, fencing);
        });
      assert.ok(newest > 0);
    }),
    { seed: 72, numRuns: 1000 },
  );
  assert.ok(refused > 0, 'no order came late enough to be refused');
});
