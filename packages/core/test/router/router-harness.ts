/** Test harness of the router reducer: its sidecar calls become jobs with random outcomes, and invariants are checked after each event. */
import assert from 'node:assert/strict';

import { getOrCreateLedgerEntry } from '../../src/fairness/index.js';
import { createRouterState, routerReducer } from '../../src/router/index.js';
import type { RouterEffect, RouterEvent } from '../../src/router/index.js';

type WithoutTime<T> = T extends unknown ? Omit<T, 'nowMs'> : never;
type EffectOf<K extends RouterEffect['kind']> = Extract<RouterEffect, { kind: K }>;

export const POOL = 'p';

interface Attempt {
  request: string;
  /** Whether the attempt ran at the sidecar. */
  ran: boolean;
  /** Whether the sidecar refuses to run the attempt. */
  barred: boolean;
  /** Whether the router settled the attempt without knowing its slot time. */
  hasUnknownCost: boolean;
}

interface Request {
  account: string;
  idempotent: boolean;
  attempts: string[];
  outcomes: string[];
  /** Whether the caller has disconnected. */
  hasLeft: boolean;
}

/** Unfinished call from the router to a sidecar. */
export interface PendingJob {
  kind: 'dispatch' | 'resume' | 'ask-outcome' | 'cancel';
  attempt: string;
}

/** Random outcome of a job. */
export interface JobOutcome {
  /** Selects the outcome; integer from 0 to 9. */
  choice: number;
  slotMs: number;
  headRelayed: boolean;
}

/** Creates a harness without links; `applyEvent` applies an event at the current time and checks its effects. */
export function createRouterHarness() {
  const state = createRouterState({ incarnation: 'r', outcomeTimeoutMs: 500 });
  const requests = new Map<string, Request>();
  const attempts = new Map<string, Attempt>();
  const jobs: PendingJob[] = [];
  const slotMsByAccount = new Map<string, number>();
  const credits = new Map<string, { limit: number; attempts: Set<string> }>();
  let isStopped = false;

  const harness = {
    state,
    requests,
    attempts,
    jobs,
    credits,
    nowMs: 0,
    applyEvent,
    submit,
    disconnect,
    endJob,
  };

  const effectChecks: { [K in RouterEffect['kind']]?: (effect: EffectOf<K>) => void } = {
    dispatch({ request, attempt, grant }) {
      const req = requests.get(request) as Request;
      assert.deepEqual(req.outcomes, [], 'request dispatched after its end');
      assert.ok(!attempts.has(attempt), 'attempt id used twice');
      if (!req.idempotent)
        assert.ok(
          !mayHaveRun(req),
          'non-idempotent request dispatched again although it may have run',
        );
      req.attempts.push(attempt);
      attempts.set(attempt, { request, ran: false, barred: false, hasUnknownCost: false });
      if (grant === 'credit') recordCreditUse(attempt);
      jobs.push({ kind: 'dispatch', attempt });
    },
    refuse({ request, ran }) {
      const req = requests.get(request) as Request;
      if (ran === 'no')
        assert.ok(!mayHaveRun(req), 'request reported as not run although it may have run');
      else req.attempts.forEach((attempt) => markCostUnknown(attempt));
      recordEnd(req, 'refused');
    },
    resume: ({ attempt }) => addJob('resume', attempt),
    'ask-outcome': ({ attempt }) => addJob('ask-outcome', attempt),
    cancel: ({ attempt }) => addJob('cancel', attempt),
    stopped() {
      isStopped = true;
      assert.ok([...requests.values()].every((req) => req.outcomes.length === 1));
    },
  };

  function applyEvent(event: WithoutTime<RouterEvent>): void {
    const { effects } = routerReducer(state, { ...event, nowMs: harness.nowMs });
    effects.forEach((effect) =>
      (effectChecks[effect.kind] as ((e: RouterEffect) => void) | undefined)?.(effect),
    );
  }

  /** Returns whether any attempt of the request may have run, that is, is not barred. */
  function mayHaveRun(req: Request): boolean {
    return req.attempts.some((id) => !(attempts.get(id) as Attempt).barred);
  }

  function markCostUnknown(attempt: string): void {
    (attempts.get(attempt) as Attempt).hasUnknownCost = true;
  }

  function addJob(kind: PendingJob['kind'], attempt: string): void {
    jobs.push({ kind, attempt });
  }

  function recordCreditUse(attempt: string): void {
    const link = state.attempts.get(attempt)?.link ?? '';
    const linkCredits = credits.get(link);
    assert.ok(linkCredits, 'credit of a closed link used');
    linkCredits.attempts.add(attempt);
    // A credit allows one attempt at a time and is returned when the router settles that attempt.
    const unsettled = [...linkCredits.attempts].filter((id) => state.attempts.has(id));
    assert.ok(unsettled.length <= linkCredits.limit, 'more unsettled attempts than credits');
  }

  function recordEnd(req: Request, outcome: string): void {
    req.outcomes.push(outcome);
    assert.equal(
      req.outcomes.length,
      1,
      `request ended more than once: ${req.outcomes.join(', ')}`,
    );
  }

  function submit(account: string, idempotent: boolean): void {
    const request = String(requests.size + 1);
    requests.set(request, { account, idempotent, attempts: [], outcomes: [], hasLeft: false });
    const limits = { queueTimeoutMs: 2000, maxQueued: 5 };
    const info = { request, account, service: 's', pool: POOL, share: 1, idempotent, ...limits };
    applyEvent({ kind: 'request-arrived', info, seed: 0 });
  }

  function disconnect(request: string): void {
    const req = requests.get(request) as Request;
    if (req.outcomes.length > 0) return;
    req.hasLeft = true;
    recordEnd(req, 'gone');
    applyEvent({ kind: 'request-gone', request });
  }

  function reportEnded(attempt: string, slotMs: number): void {
    const { request } = attempts.get(attempt) as Attempt;
    const req = requests.get(request) as Request;
    const isUnsettled = state.attempts.has(attempt);
    if (isUnsettled) {
      slotMsByAccount.set(req.account, (slotMsByAccount.get(req.account) ?? 0) + slotMs);
      if (!req.hasLeft) recordEnd(req, 'completed');
    }
    applyEvent({ kind: 'attempt-ended', attempt, slotMs });
  }

  function reportLost(attempt: string, headRelayed: boolean): void {
    applyEvent({ kind: 'attempt-lost', attempt, relayedBytes: 0, headRelayed });
  }

  function reportRefused(attempt: string): void {
    (attempts.get(attempt) as Attempt).barred = true;
    applyEvent({ kind: 'attempt-refused', attempt, reason: 'late-grant' });
  }

  function reportOutcome(
    attempt: string,
    outcome: 'barred' | 'running' | 'unknown-outcome' | 'unreachable',
  ) {
    if (outcome === 'unknown-outcome' || outcome === 'unreachable') markCostUnknown(attempt);
    applyEvent({ kind: 'outcome-learned', attempt, outcome });
  }

  const jobHandlers: Record<
    PendingJob['kind'],
    (id: string, attempt: Attempt, result: JobOutcome) => void
  > = {
    dispatch(id, attempt, { choice, slotMs, headRelayed }) {
      const req = requests.get(attempt.request) as Request;
      const hasCancelJob = jobs.some((job) => job.kind === 'cancel' && job.attempt === id);
      if (req.hasLeft && !hasCancelJob) reportRefused(id);
      else if (attempt.barred || choice < 3) {
        if (choice % 2 === 0 && !attempt.ran) reportRefused(id);
        else reportLost(id, false);
      } else if (choice < 5 || hasCancelJob) {
        attempt.ran = choice % 2 === 0;
        reportLost(id, attempt.ran && headRelayed);
      } else {
        attempt.ran = true;
        reportEnded(id, slotMs);
      }
    },
    resume(id, attempt, { choice, slotMs, headRelayed }) {
      if ((requests.get(attempt.request) as Request).hasLeft) return;
      if (choice < 2) reportOutcome(id, 'unknown-outcome');
      else if (choice < 4) reportLost(id, headRelayed);
      else reportEnded(id, slotMs);
    },
    'ask-outcome': (id, attempt, { choice }) => {
      if (choice < 3) reportOutcome(id, 'unreachable');
      else if (choice < 4) reportOutcome(id, 'unknown-outcome');
      else if (attempt.ran) reportOutcome(id, 'running');
      else {
        attempt.barred = true;
        reportOutcome(id, 'barred');
      }
    },
    cancel(id, attempt, { choice, slotMs }) {
      if (!attempt.ran && choice > 2) attempt.barred = true;
      reportEnded(id, slotMs);
    },
  };

  /** Ends a job and reports its result to the router. */
  function endJob(job: PendingJob, result: JobOutcome): void {
    jobs.splice(jobs.indexOf(job), 1);
    jobHandlers[job.kind](job.attempt, attempts.get(job.attempt) as Attempt, result);
  }

  /** Checks the final state after all jobs have ended. */
  function checkEnd(): void {
    assert.equal(state.requests.size, 0);
    assert.equal(state.attempts.size, 0, 'attempts left unsettled');
    requests.forEach((req, id) =>
      assert.equal(req.outcomes.length, 1, `request ${id} did not end exactly once`),
    );
    assert.equal(state.pools.get(POOL)?.outstandingMs.size ?? 0, 0);
    assert.ok(isStopped);
    const accountsWithUnknownCost = new Set(
      [...attempts.values()]
        .filter((a) => a.hasUnknownCost)
        .map((a) => requests.get(a.request)?.account),
    );
    new Set([...requests.values()].map(({ account }) => account)).forEach((account) => {
      const { own } = getOrCreateLedgerEntry(state.ledger, POOL, account);
      const usedMs = slotMsByAccount.get(account) ?? 0;
      if (accountsWithUnknownCost.has(account)) assert.ok(own.chargedMs - own.refundedMs >= usedMs);
      else assert.equal(own.chargedMs - own.refundedMs, usedMs, `service charged to ${account}`);
    });
  }

  return Object.assign(harness, { checkEnd });
}

export type RouterHarness = ReturnType<typeof createRouterHarness>;
