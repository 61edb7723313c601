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
const TICK_MS = 20;
const PROCESS_COUNT = 3;
/** Maximum delivery time of an order to an engine that does not check fencing numbers; below the margin for such engines. */
const MAX_UNFENCED_DELAY_MS = 400;
/** The same for an engine that checks fencing numbers; longer than the margin. */
const MAX_FENCED_DELAY_MS = 3000;

type WriteEffect = Extract<LeaseEffect, { kind: 'store-write' }>;
type WriteResult = 'ok' | 'answer-lost' | 'late';

/** A disturbance of one process at one tick of the clock. */
interface Disturbance {
  step: number;
  process: number;
  kind: 'pause' | 'cut-off' | 'write-result';
  steps: number;
  writeResult: WriteResult;
}

interface PendingEvent {
  atMs: number;
  event: LeaseEvent;
}

interface Process {
  state: LeaseState;
  /** Difference between the monotonic clock of the process and the simulated time. */
  clockOffsetMs: number;
  pausedUntilMs: number;
  inbox: PendingEvent[];
  nextWriteResult: WriteResult;
  /** Time until which its calls to the object service fail. */
  storeUnreachableUntilMs: number;
  /** Effects to be performed at the next tick, or after a pause. */
  pendingEffects: LeaseEffect[];
  /** Arrival time of its latest order at the engine; a process gives one order at a time. */
  orderArrivesAtMs: number;
}

interface Delivery {
  atMs: number;
  fencing: number;
}

const createSimulation = (disturbances: Disturbance[], checksFencing: boolean) => {
  const maxDelayMs = checksFencing ? MAX_FENCED_DELAY_MS : MAX_UNFENCED_DELAY_MS;
  let stored: { version: number; lease: Lease } | undefined;
  let version = 0;
  let nowMs = 0;
  const lateWrites: { atMs: number; effect: WriteEffect }[] = [];
  const deliveries: Delivery[] = [];
  const processes: Process[] = Array.from({ length: PROCESS_COUNT }, (_, index) => ({
    state: createLeaseState({ name: 'e', holder: `p${index}`, durationMs: DURATION_MS }),
    clockOffsetMs: index * 12_345,
    pausedUntilMs: 0,
    inbox: [],
    nextWriteResult: 'ok',
    storeUnreachableUntilMs: 0,
    pendingEffects: [],
    orderArrivesAtMs: 0,
  }));

  const applyWrite = (effect: WriteEffect): LeaseWriteOutcome => {
    if (stored?.version !== effect.version) return { code: 'conflict' };
    version += 1;
    stored = { version, lease: effect.lease };
    return { code: 'ok', version };
  };

  const write = (process: Process, effect: WriteEffect): LeaseWriteOutcome => {
    const { nextWriteResult } = process;
    process.nextWriteResult = 'ok';
    if (nowMs < process.storeUnreachableUntilMs) return { code: 'failed' };
    if (nextWriteResult === 'late') {
      lateWrites.push({ atMs: nowMs + 5 * TICK_MS, effect });
      return { code: 'unknown' };
    }
    const outcome = applyWrite(effect);
    return nextWriteResult === 'answer-lost' ? { code: 'unknown' } : outcome;
  };

  const readStored = (process: Process): LeaseReadOutcome => {
    if (nowMs < process.storeUnreachableUntilMs) return { code: 'failed' };
    return stored === undefined ? { code: 'absent' } : { code: 'found', ...stored };
  };

  const clock = (process: Process): number => nowMs + process.clockOffsetMs;

  const scheduleReply = (process: Process, event: LeaseEvent): void => {
    process.inbox.push({ atMs: nowMs + TICK_MS, event });
  };

  const perform = (process: Process, effect: LeaseEffect): void => {
    if (effect.kind === 'store-read') {
      scheduleReply(process, { kind: 'lease-read', nowMs: 0, outcome: readStored(process) });
    } else if (effect.kind === 'store-write') {
      scheduleReply(process, { kind: 'lease-written', nowMs: 0, outcome: write(process, effect) });
    } else if (effect.kind === 'give-order' && clock(process) <= effect.notAfterMs) {
      const delayMs = (effect.fencing * 1170 + deliveries.length * 490) % maxDelayMs;
      process.orderArrivesAtMs = nowMs + delayMs;
      deliveries.push({ atMs: nowMs + delayMs, fencing: effect.fencing });
    }
  };

  const feed = (process: Process, event: LeaseEvent): void => {
    const { effects } = leaseReducer(process.state, { ...event, nowMs: clock(process) });
    process.pendingEffects.push(...effects);
  };

  const tickProcess = (process: Process): void => {
    if (nowMs < process.pausedUntilMs) return;
    process.pendingEffects.splice(0).forEach((effect) => perform(process, effect));
    const due = process.inbox.filter(({ atMs }) => atMs <= nowMs);
    process.inbox = process.inbox.filter(({ atMs }) => atMs > nowMs);
    due.forEach(({ event }) => feed(process, event));
    const order: EngineOrder = { id: 'o', checksFencing };
    feed(process, { kind: 'tick', nowMs: 0 });
    if (nowMs > process.orderArrivesAtMs) feed(process, { kind: 'order', nowMs: 0, order });
  };

  const applyDisturbance = ({ process: index, kind, steps, writeResult }: Disturbance): void => {
    const process = processes[index]!;
    if (kind === 'pause') process.pausedUntilMs = nowMs + steps * TICK_MS;
    else if (kind === 'cut-off') process.storeUnreachableUntilMs = nowMs + steps * TICK_MS;
    else process.nextWriteResult = writeResult;
  };

  const advance = (step: number): void => {
    nowMs = step * TICK_MS;
    disturbances.filter((disturbance) => disturbance.step === step).forEach(applyDisturbance);
    lateWrites.filter(({ atMs }) => atMs === nowMs).forEach(({ effect }) => applyWrite(effect));
    processes.forEach(tickProcess);
  };

  const run = (steps: number): Delivery[] => {
    processes.forEach((process) => feed(process, { kind: 'wanted', nowMs: 0, wanted: true }));
    for (let step = 0; step < steps; step += 1) advance(step);
    return deliveries.sort((a, b) => a.atMs - b.atMs);
  };
  return { run };
};

const disturbanceArbitrary: fc.Arbitrary<Disturbance> = fc.record(
  {
    step: fc.nat(400),
    process: fc.nat(PROCESS_COUNT - 1),
    kind: fc.constantFrom('pause' as const, 'cut-off' as const, 'write-result' as const),
    steps: fc.integer({ min: 20, max: 120 }),
    writeResult: fc.constantFrom<WriteResult>('answer-lost', 'late'),
  },
  { noNullPrototype: true },
);
const disturbancesArbitrary = fc.array(disturbanceArbitrary, { minLength: 10, maxLength: 40 });

test('an engine that does not check fencing numbers never receives an order of an old holder after one of a new holder', () => {
  let holderChanges = 0;
  fc.assert(
    fc.property(disturbancesArbitrary, (disturbances) => {
      let newest = 0;
      holderChanges -= 1;
      createSimulation(disturbances, false)
        .run(450)
        .forEach(({ fencing }) => {
          assert.ok(
            fencing >= newest,
            `order with fencing number ${fencing} arrived after one with ${newest}`,
          );
          if (fencing > newest) holderChanges += 1;
          newest = fencing;
        });
      assert.ok(newest > 0, 'no order was ever given');
    }),
    { seed: 71, numRuns: 1000 },
  );
  assert.ok(holderChanges > 400, `the holder changed only ${holderChanges} times`);
});

test('an engine that checks fencing numbers may receive an outdated one, which it rejects', () => {
  let refused = 0;
  fc.assert(
    fc.property(disturbancesArbitrary, (disturbances) => {
      let newest = 0;
      createSimulation(disturbances, true)
        .run(450)
        .forEach(({ fencing }) => {
          if (fencing < newest) refused += 1;
          newest = Math.max(newest, fencing);
        });
      assert.ok(newest > 0);
    }),
    { seed: 72, numRuns: 1000 },
  );
  assert.ok(refused > 0, 'no order arrived late enough to be rejected');
});
