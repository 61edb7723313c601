import assert from 'node:assert/strict';
import { test } from 'node:test';

import fc from 'fast-check';

import { createRouterState, routerReducer } from '../../src/router/index.js';
import type { RouterEffect, RouterEvent } from '../../src/router/index.js';
import { createSidecarState, sidecarReducer } from '../../src/sidecar/index.js';
import type { SidecarEffect, SidecarEvent } from '../../src/sidecar/index.js';

interface Job {
  request: string;
  account: string;
  share: number;
  slotMs: number;
}

const SLOTS = 2;
const QUEUE_AHEAD = 1;
const MIN_SLOT_MS = 40;
const MAX_SLOT_MS = 100;
/** Maximum number of requests past the router queue: running, queued ahead, staged and granted a slot. */
const MAX_IN_FLIGHT = 3 * SLOTS + QUEUE_AHEAD;

/** Returns the start order of a single queue that always serves the account with the least service per share, one request at a time. */
function simulateSingleQueue(jobs: Job[]): Job[] {
  const waiting = [...jobs];
  const served = new Map<string, number>();
  const startTag = ({ account }: Job) => served.get(account) ?? 0;
  const startOrder: Job[] = [];
  while (waiting.length > 0) {
    const next = waiting.reduce((best, job) => (startTag(job) < startTag(best) ? job : best));
    waiting.splice(waiting.indexOf(next), 1);
    served.set(next.account, startTag(next) + next.slotMs / next.share);
    startOrder.push(next);
  }
  return startOrder;
}

/** Returns the start order and the completions of one router and one sidecar with immediate in-order message delivery. */
function simulateFleet(jobs: Job[]): { started: Job[]; completed: string[] } {
  const jobByRequest = new Map(jobs.map((job) => [job.request, job]));
  const jobByAttempt = new Map<string, Job>();
  const router = createRouterState({ incarnation: 'r' });
  const sidecar = createSidecarState({
    backend: 'b',
    pool: 'p',
    slots: SLOTS,
    queueAhead: QUEUE_AHEAD,
  });
  const inbox: (() => void)[] = [];
  const running: { attempt: string; endsAtMs: number; job: Job }[] = [];
  const started: Job[] = [];
  const completed: string[] = [];
  let nowMs = 0;

  const feedRouter = (event: RouterEvent) =>
    routerReducer(router, event).effects.forEach(performRouterEffect);
  const feedSidecar = (event: SidecarEvent) =>
    sidecarReducer(sidecar, event).effects.forEach(performSidecarEffect);

  function performRouterEffect(effect: RouterEffect): void {
    if (effect.kind === 'send') {
      const { message } = effect;
      inbox.push(() => feedSidecar({ kind: 'message', nowMs, link: 'r', message }));
    } else if (effect.kind === 'dispatch') {
      const { attempt, grant, estimateMs } = effect;
      const job = jobByRequest.get(effect.request) as Job;
      jobByAttempt.set(attempt, job);
      const offer = { attempt, incarnation: 'r', grant, account: job.account, estimateMs };
      inbox.push(() => feedSidecar({ kind: 'attempt-offered', nowMs, offer }));
    } else assert.fail(`unexpected ${effect.kind}`);
  }

  function performSidecarEffect(effect: SidecarEffect): void {
    if (effect.kind === 'send') {
      const { message } = effect;
      inbox.push(() => feedRouter({ kind: 'message', nowMs, link: 's', message }));
    } else if (effect.kind === 'run') {
      const job = jobByAttempt.get(effect.attempt) as Job;
      started.push(job);
      // The backend server runs `SLOTS` requests concurrently; a request queued ahead starts when a running one ends.
      const endTimes = running.map(({ endsAtMs }) => endsAtMs).sort((a, b) => a - b);
      const startMs =
        endTimes.length < SLOTS ? nowMs : Math.max(nowMs, endTimes[endTimes.length - SLOTS] ?? 0);
      running.push({ attempt: effect.attempt, endsAtMs: startMs + job.slotMs, job });
    } else if (effect.kind === 'refuse') {
      const { attempt, reason } = effect;
      inbox.push(() => feedRouter({ kind: 'attempt-refused', nowMs, attempt, reason }));
    }
  }

  const deliverMessages = () => {
    for (let next = inbox.shift(); next; next = inbox.shift()) next();
  };
  const location = { distance: 'same-zone' as const };
  feedSidecar({ kind: 'backend-synced', nowMs });
  feedSidecar({
    kind: 'link-opened',
    nowMs,
    link: 'r',
    router: 'r',
    incarnation: 'r',
    ...location,
  });
  const hello = { link: 's', backend: 'b', pool: 'p', dataUrl: '', incarnation: 's', ...location };
  feedRouter({ kind: 'sidecar-linked', nowMs, ...hello });
  jobs.forEach(({ request, account, share }) => {
    const limits = { queueTimeoutMs: 1e9, maxQueued: 1e9 };
    const info = { request, account, share, service: 's', pool: 'p', idempotent: false, ...limits };
    feedRouter({ kind: 'request-arrived', nowMs, seed: 0, info });
  });
  deliverMessages();
  while (running.length > 0) {
    running.sort((a, b) => a.endsAtMs - b.endsAtMs);
    const { attempt, endsAtMs, job } = running.shift() as (typeof running)[0];
    nowMs = Math.max(nowMs, endsAtMs);
    completed.push(job.request);
    feedSidecar({ kind: 'attempt-ended', nowMs, attempt, ran: true });
    feedRouter({ kind: 'attempt-ended', nowMs, attempt, slotMs: job.slotMs });
    feedSidecar({ kind: 'tick', nowMs });
    feedRouter({ kind: 'tick', nowMs });
    deliverMessages();
  }
  return { started, completed };
}

/** Returns the service per share of each account after each start, until one account has no more requests to start. */
function serviceCurve(order: Job[]): Map<string, number>[] {
  const remaining = new Map<string, number>();
  order.forEach(({ account }) => remaining.set(account, (remaining.get(account) ?? 0) + 1));
  const service = new Map([...remaining.keys()].map((account) => [account, 0]));
  const curve: Map<string, number>[] = [];
  for (const { account, slotMs, share } of order) {
    service.set(account, (service.get(account) ?? 0) + slotMs / share);
    remaining.set(account, (remaining.get(account) ?? 0) - 1);
    if (remaining.get(account) === 0) break;
    curve.push(new Map(service));
  }
  return curve;
}

const loadArbitrary = fc.array(
  fc.record(
    { account: fc.nat(3), slotMs: fc.integer({ min: MIN_SLOT_MS, max: MAX_SLOT_MS }) },
    { noNullPrototype: true },
  ),
  { minLength: 30, maxLength: 150 },
);

test('a router and a sidecar match the service of a single fair queue up to the requests in flight', () => {
  fc.assert(
    fc.property(loadArbitrary, (load) => {
      const jobs = load.map(({ account, slotMs }, i) => ({
        request: `q${i}`,
        account: `a${account}`,
        share: 1 + (account % 2),
        slotMs,
      }));
      const { started, completed } = simulateFleet(jobs);
      assert.deepEqual([...completed].sort(), jobs.map(({ request }) => request).sort());
      const fleet = serviceCurve(started);
      const queue = serviceCurve(simulateSingleQueue(jobs));
      // Both orders start the request of the account with the lowest start tag, but the cost of up to MAX_IN_FLIGHT requests is still unknown.
      const boundMs = (MAX_IN_FLIGHT + 1) * MAX_SLOT_MS;
      fleet.slice(0, queue.length).forEach((service, at) => {
        service.forEach((ms, account) => {
          const differenceMs = Math.abs(ms - (queue[at]?.get(account) ?? 0));
          assert.ok(differenceMs <= boundMs, `${account}: ${differenceMs} ms at start ${at}`);
        });
      });
    }),
    { seed: 521, numRuns: 300, includeErrorInReport: true },
  );
});
