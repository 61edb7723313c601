import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { createServerLoad } from '../../src/direct/index.js';
import type { ServerLoad } from '../../src/direct/index.js';

const ROUTERS = 24;
const TOKENS_PER_MS = 100;
/** Reports are composed within this time and take as long again. */
const REPORT_MS = 30;
/** Typical latency objective: estimates that differ by more make one router refuse what another one sends. */
const OBJECTIVE_MS = 500;

const arrivals = fc.record({
  router: fc.nat(ROUTERS - 1),
  tokens: fc.integer({ min: 1000, max: 9000 }),
  gapMs: fc.nat(80),
});

/** Schedules steps of a simulation. */
function createSchedule() {
  let steps: { atMs: number; run: (nowMs: number) => void }[] = [];
  return {
    at(atMs: number, run: (nowMs: number) => void): void {
      steps.push({ atMs, run });
    },
    run(): void {
      while (steps.length > 0) {
        const next = steps.reduce((first, step) => (step.atMs < first.atMs ? step : first));
        steps = steps.filter((step) => step !== next);
        next.run(next.atMs);
      }
    },
  };
}

// Guards against routers of which one refuses for a wait of seconds what another one sends at once to the same engine.
test('many routers agree on the wait at an engine, although each sends it few requests', () => {
  const loads = Array.from({ length: ROUTERS }, () =>
    createServerLoad({ msPerToken: 1 / 72, meanResidenceMs: 500, kvCapacityTokens: 1e6 }),
  );
  const schedule = createSchedule();
  let engineFreeAtMs = 0;
  const differencesMs: number[] = [];

  function report(load: ServerLoad, sentTokens: number, composedAtMs: number): void {
    const peers = loads.filter((other) => other !== load);
    const start = load.takeObservedStart();
    schedule.at(composedAtMs + REPORT_MS, (nowMs) =>
      peers.forEach((peer) => {
        peer.recordPeerReport(`${loads.indexOf(load)}`, 0, sentTokens, nowMs);
        if (start === undefined) return;
        const delayMs = nowMs - composedAtMs;
        peer.recordPeerStart({
          sentAtMs: start.sentAtMs + delayMs,
          begunAtMs: start.begunAtMs + delayMs,
        });
      }),
    );
  }

  let arrivedAtMs = 0;
  fc.sample(arrivals, { seed: 20261207, numRuns: 600 }).forEach(({ router, tokens, gapMs }) => {
    // The load changes between 0.7 and 1.3 of what the engine can take.
    arrivedAtMs += gapMs * (arrivedAtMs % 4000 < 1500 ? 0.95 : 1.8);
    schedule.at(arrivedAtMs, (nowMs) => {
      const load = loads[router]!;
      const prediction = load.recordSend(nowMs, tokens);
      schedule.at(nowMs + REPORT_MS, (atMs) => report(load, tokens, atMs));
      engineFreeAtMs = Math.max(engineFreeAtMs, nowMs) + tokens / TOKENS_PER_MS;
      schedule.at(engineFreeAtMs + 25, (atMs) => {
        load.recordFirstEvent(prediction, atMs);
        schedule.at(atMs + REPORT_MS, (laterMs) => report(load, 0, laterMs));
      });
      const waits = loads.map(({ waitMs }) => waitMs(nowMs));
      differencesMs.push(Math.max(...waits) - Math.min(...waits));
    });
  });
  schedule.run();
  assert.ok(
    differencesMs.every((ms) => ms < OBJECTIVE_MS),
    `waits differ by up to ${Math.max(...differencesMs)} ms`,
  );
});
