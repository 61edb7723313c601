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
/** Requests that may be beyond the queues at once: slots, queued ahead, staged, and the slots granted. */
const DEPTH = 3 * SLOTS + QUEUE_AHEAD;

/** Start order of one queue that always starts the account of least service over share, served one at a time. */
function startOneQueue(jobs: Job[]): Job[] {
  const waiting = [...jobs];
  const served = new Map<string, number>();
  const tag = ({ account }: Job) => served.get(account) ?? 0;
  const order: Job[] = [];
  while (waiting.length > 0) {
    const next = waiting.reduce((best, job) => (tag(job) < tag(best) ? job : best));
    waiting.splice(waiting.indexOf(next), 1);
    served.set(next.account, tag(next) + next.slotMs / next.share);
    order.push(next);
  }
  return order;
}

/** Start order and completions of one router and one sidecar whose messages arrive at once and in order. */
function startThroughFleet(jobs: Job[]): { started: Job[]; completed: string[] } {
  const byRequest = new Map(jobs.map((job) => [job.request, job]));
  const jobOf = new Map<string, Job>();
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

  const toRouter = (event: RouterEvent) =>
    routerReducer(router, event).effects.forEach(routerEffect);
  const toSidecar = (event: SidecarEvent) =>
    sidecarReducer(sidecar, event).effects.forEach(sidecarEffect);

  function routerEffect(effect: RouterEffect): void {
    if (effect.kind === 'send') {
      const { message } = effect;
      inbox.push(() => toSidecar({ kind: 'message', nowMs, link: 'r', message }));
    } else if (effect.kind === 'dispatch') {
      const { attempt, grant, estimateMs } = effect;
      const job = byRequest.get(effect.request) as Job;
      jobOf.set(attempt, job);
      const offer = { attempt, incarnation: 'r', grant, account: job.account, estimateMs };
      inbox.push(() => toSidecar({ kind: 'attempt-offered', nowMs, offer }));
    } else assert.fail(`unexpected ${effect.kind}`);
  }

  function sidecarEffect(effect: SidecarEffect): void {
    if (effect.kind === 'send') {
      const { message } = effect;
      inbox.push(() => toRouter({ kind: 'message', nowMs, link: 's', message }));
    } else if (effect.kind === 'run') {
      const job = jobOf.get(effect.attempt) as Job;
      started.push(job);
      // The backend server runs `SLOTS` at once; one queued ahead starts when the first of them ends.
      const ends = running.map(({ endsAtMs }) => endsAtMs).sort((a, b) => a - b);
      const startMs = ends.length < SLOTS ? nowMs : Math.max(nowMs, ends[ends.length - SLOTS] ?? 0);
      running.push({ attempt: effect.attempt, endsAtMs: startMs + job.slotMs, job });
    } else if (effect.kind === 'refuse') {
      const { attempt, reason } = effect;
      inbox.push(() => toRouter({ kind: 'attempt-refused', nowMs, attempt, reason }));
    }
  }

  const deliver = () => {
    for (let next = inbox.shift(); next; next = inbox.shift()) next();
  };
  const place = { distance: 'same-zone' as const };
  toSidecar({ kind: 'backend-synced', nowMs });
  toSidecar({ kind: 'link-opened', nowMs, link: 'r', router: 'r', incarnation: 'r', ...place });
  const hello = { link: 's', backend: 'b', pool: 'p', dataUrl: '', incarnation: 's', ...place };
  toRouter({ kind: 'sidecar-linked', nowMs, ...hello });
  jobs.forEach(({ request, account, share }) => {
    const limits = { queueTimeoutMs: 1e9, maxQueued: 1e9 };
    const info = { request, account, share, service: 's', pool: 'p', idempotent: false, ...limits };
    toRouter({ kind: 'request-arrived', nowMs, seed: 0, info });
  });
  deliver();
  while (running.length > 0) {
    running.sort((a, b) => a.endsAtMs - b.endsAtMs);
    const { attempt, endsAtMs, job } = running.shift() as (typeof running)[0];
    nowMs = Math.max(nowMs, endsAtMs);
    completed.push(job.request);
    toSidecar({ kind: 'attempt-ended', nowMs, attempt, ran: true });
    toRouter({ kind: 'attempt-ended', nowMs, attempt, slotMs: job.slotMs });
    toSidecar({ kind: 'tick', nowMs });
    toRouter({ kind: 'tick', nowMs });
    deliver();
  }
  return { started, completed };
}

/** Service over share by account after each start, as long as every account still has requests to start. */
function serviceCurve(order: Job[]): Map<string, number>[] {
  const left = new Map<string, number>();
  order.forEach(({ account }) => left.set(account, (left.get(account) ?? 0) + 1));
  const service = new Map([...left.keys()].map((account) => [account, 0]));
  const curve: Map<string, number>[] = [];
  for (const { account, slotMs, share } of order) {
    service.set(account, (service.get(account) ?? 0) + slotMs / share);
    left.set(account, (left.get(account) ?? 0) - 1);
    if (left.get(account) === 0) break;
    curve.push(new Map(service));
  }
  return curve;
}

const loads = fc.array(
  fc.record(
    { account: fc.nat(3), slotMs: fc.integer({ min: MIN_SLOT_MS, max: MAX_SLOT_MS }) },
    { noNullPrototype: true },
  ),
  { minLength: 30, maxLength: 150 },
);

test('one router and one sidecar serve as one fair queue does, within the requests in flight', () => {
  fc.assert(
    fc.property(loads, (load) => {
      const jobs = load.map(({ account, slotMs }, i) => ({
        request: `q${i}`,
        account: `a${account}`,
        share: 1 + (account % 2),
        slotMs,
      }));
      const { started, completed } = startThroughFleet(jobs);
      assert.deepEqual([...completed].sort(), jobs.map(({ request }) => request).sort());
      const fleet = serviceCurve(started);
      const queue = serviceCurve(startOneQueue(jobs));
      // Each order starts an account's request only while its tag is least, but for those in flight: at most DEPTH whose cost is not known yet.
      const boundMs = (DEPTH + 1) * MAX_SLOT_MS;
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
