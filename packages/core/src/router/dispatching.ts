/** Sends waiting requests to sidecars: into granted slots, on standing credits, or pushed under the naive policy. */
import {
  advancePoolVirtualTime,
  chargeService,
  getAccountVirtualTimeMs,
} from '../fairness/index.js';
import { stepClaim } from './claiming.js';
import { demandAfterGrant, noteGrant } from './demand.js';
import { addOutstanding, dequeue, leastServedHead, outstandingMs } from './queues.js';
import { RequestState } from './types.js';
import type {
  RouterAttempt,
  RouterEffect,
  RouterRequest,
  RouterState,
  LinkedSidecar,
  SlotGrant,
} from './types.js';

const DISTANCE_RANK = { 'same-zone': 0, 'same-region': 1, 'other-region': 2 } as const;

/** Uses a grant for the least served waiting account, or declines it. */
export function useGrant(
  state: RouterState,
  sidecar: LinkedSidecar,
  grant: number,
  granted: string,
  nowMs: number,
): RouterEffect[] {
  const req = leastServedHead(state, sidecar.pool);
  if (!req) {
    sidecar.sent.delete(granted);
    return [{ kind: 'send', link: sidecar.link, message: { kind: 'decline', grant } }];
  }
  noteGrant(sidecar, granted, req.estimateMs / req.share);
  const dispatched = dispatch(state, sidecar, req, grant, nowMs);
  return [...dispatched, ...demandAfterGrant(state, sidecar, nowMs)];
}

/** Dispatches waiting requests of a pool on credits, least served first, while credits last. */
export function useCredits(state: RouterState, pool: string, nowMs: number): RouterEffect[] {
  const effects: RouterEffect[] = [];
  for (;;) {
    const req = leastServedHead(state, pool);
    const sidecar = req && creditedSidecar(state, pool);
    if (!req || !sidecar) return effects;
    sidecar.creditsUsed += 1;
    effects.push(...dispatch(state, sidecar, req, 'credit', nowMs));
  }
}

/** Pushes a request to a sidecar chosen at random, the naive policy. */
export function pushAtRandom(
  state: RouterState,
  req: RouterRequest,
  nowMs: number,
): RouterEffect[] {
  const candidates = poolSidecars(state, req.pool);
  const sidecar = candidates[Math.floor(req.seed * candidates.length)];
  return sidecar ? dispatch(state, sidecar, req, 'push', nowMs) : [];
}

function poolSidecars(state: RouterState, pool: string): LinkedSidecar[] {
  return [...state.sidecars.values()].filter((s) => s.pool === pool && !s.leaving);
}

/** The nearest sidecar with credits left; among equals the one with the most. */
function creditedSidecar(state: RouterState, pool: string): LinkedSidecar | null {
  let best: LinkedSidecar | null = null;
  poolSidecars(state, pool).forEach((sidecar) => {
    if (creditsLeft(sidecar) <= 0) return;
    if (!best || isBetter(sidecar, best)) best = sidecar;
  });
  return best;
}

function creditsLeft(sidecar: LinkedSidecar): number {
  return sidecar.credits - sidecar.creditsUsed;
}

function isBetter(a: LinkedSidecar, b: LinkedSidecar): boolean {
  const byDistance = DISTANCE_RANK[a.distance] - DISTANCE_RANK[b.distance];
  return byDistance === 0 ? creditsLeft(a) > creditsLeft(b) : byDistance < 0;
}

/** Dispatches the request, or begins to claim its idempotency key, upon which it is dispatched. */
function dispatch(
  state: RouterState,
  sidecar: LinkedSidecar,
  req: RouterRequest,
  grant: SlotGrant,
  nowMs: number,
): RouterEffect[] {
  advancePoolVirtualTime(state.ledger, req.pool, settledTagMs(state, req));
  dequeue(state, req);
  const attempt = `${state.options.incarnation}.${state.nextAttempt}`;
  state.nextAttempt += 1;
  state.attempts.set(attempt, newAttempt(attempt, req, sidecar, grant, nowMs));
  chargeService(state.ledger, req.pool, req.account, req.estimateMs);
  addOutstanding(state, req.pool, req.account, req.estimateMs);
  req.attempt = attempt;
  const { dataUrl, backend, incarnation: sidecarIncarnation } = sidecar;
  const target = { attempt, backend, sidecarIncarnation, dataUrl };
  if (req.keyed) {
    req.state = RequestState.Claiming;
    return stepClaim(state, req, { kind: 'slot-granted', target }, nowMs);
  }
  req.state = RequestState.Dispatched;
  const { request, estimateMs } = req;
  return [{ kind: 'dispatch', request, ...target, grant, estimateMs }];
}

/**
 * Virtual time of the account without the estimates of its attempts that have not ended: a pool's virtual time never goes back, so
 * an estimate that is refunded later must not raise it.
 */
function settledTagMs(state: RouterState, req: RouterRequest): number {
  const tagMs = getAccountVirtualTimeMs(state.ledger, req.pool, req.account, req.share);
  return tagMs - outstandingMs(state, req.pool, req.account) / req.share;
}

function newAttempt(
  attempt: string,
  req: RouterRequest,
  sidecar: LinkedSidecar,
  grant: SlotGrant,
  nowMs: number,
): RouterAttempt {
  return {
    attempt,
    request: req.request,
    link: sidecar.link,
    dataUrl: sidecar.dataUrl,
    sidecarIncarnation: sidecar.incarnation,
    dispatchedAtMs: nowMs,
    chargedMs: req.estimateMs,
    grant,
    creditEpoch: grant === 'credit' ? sidecar.creditEpoch : null,
    relayedBytes: 0,
    headRelayed: false,
    askUntilMs: 0,
    askAgainAtMs: 0,
  };
}
