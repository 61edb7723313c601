/** Dispatches waiting requests to sidecars: with a grant, with a credit, or by random push under the naive policy. */
import {
  advancePoolVirtualTime,
  chargeService,
  getAccountVirtualTimeMs,
} from '../fairness/index.js';
import { applyClaimEvent } from './claiming.js';
import { recordUsedGrant, sendDemandAfterGrant } from './demand.js';
import { addOutstandingMs, dequeue, leastServedHead, outstandingMs } from './queues.js';
import { RequestState } from './types.js';
import type {
  LinkedSidecar,
  RouterAttempt,
  RouterEffect,
  RouterRequest,
  RouterState,
  SlotGrant,
} from './types.js';

const DISTANCE_RANK = { 'same-zone': 0, 'same-region': 1, 'other-region': 2 } as const;

/** Uses a grant for the waiting account with the least virtual time; declines it if no request waits. */
export function useGrant(
  state: RouterState,
  sidecar: LinkedSidecar,
  grant: number,
  grantedAccount: string,
  nowMs: number,
): RouterEffect[] {
  const req = leastServedHead(state, sidecar.pool);
  if (!req) {
    sidecar.sent.delete(grantedAccount);
    return [{ kind: 'send', link: sidecar.link, message: { kind: 'decline', grant } }];
  }
  recordUsedGrant(sidecar, grantedAccount, req.estimateMs / req.share);
  const dispatched = dispatch(state, sidecar, req, grant, nowMs);
  return [...dispatched, ...sendDemandAfterGrant(state, sidecar, nowMs)];
}

/** Dispatches waiting requests of a pool in order of virtual time until no credits are left. */
export function useCredits(state: RouterState, pool: string, nowMs: number): RouterEffect[] {
  const effects: RouterEffect[] = [];
  for (;;) {
    const req = leastServedHead(state, pool);
    const sidecar = req && nearestCreditedSidecar(state, pool);
    if (!req || !sidecar) return effects;
    sidecar.creditsUsed += 1;
    effects.push(...dispatch(state, sidecar, req, 'credit', nowMs));
  }
}

/** Dispatches a request to a random sidecar of its pool, as the naive policy does. */
export function pushToRandomSidecar(
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

/** Returns the nearest sidecar with unused credits, or among equally near ones the one with the most unused credits. */
function nearestCreditedSidecar(state: RouterState, pool: string): LinkedSidecar | null {
  let best: LinkedSidecar | null = null;
  poolSidecars(state, pool).forEach((sidecar) => {
    if (creditsLeft(sidecar) <= 0) return;
    if (!best || isPreferred(sidecar, best)) best = sidecar;
  });
  return best;
}

function creditsLeft(sidecar: LinkedSidecar): number {
  return sidecar.credits - sidecar.creditsUsed;
}

function isPreferred(a: LinkedSidecar, b: LinkedSidecar): boolean {
  const distanceDifference = DISTANCE_RANK[a.distance] - DISTANCE_RANK[b.distance];
  return distanceDifference === 0 ? creditsLeft(a) > creditsLeft(b) : distanceDifference < 0;
}

/** Charges the request and dispatches it; a request with an `Idempotency-Key` is dispatched once its claim is written. */
function dispatch(
  state: RouterState,
  sidecar: LinkedSidecar,
  req: RouterRequest,
  grant: SlotGrant,
  nowMs: number,
): RouterEffect[] {
  advancePoolVirtualTime(state.ledger, req.pool, settledVirtualTimeMs(state, req));
  dequeue(state, req);
  const attempt = `${state.options.incarnation}.${state.nextAttempt}`;
  state.nextAttempt += 1;
  state.attempts.set(attempt, newAttempt(attempt, req, sidecar, grant, nowMs));
  chargeService(state.ledger, req.pool, req.account, req.estimateMs);
  addOutstandingMs(state, req.pool, req.account, req.estimateMs);
  req.attempt = attempt;
  const { dataUrl, backend, incarnation: sidecarIncarnation } = sidecar;
  const target = { attempt, backend, sidecarIncarnation, dataUrl };
  if (req.keyed) {
    req.state = RequestState.Claiming;
    return applyClaimEvent(state, req, { kind: 'slot-granted', target }, nowMs);
  }
  req.state = RequestState.Dispatched;
  const { request, estimateMs } = req;
  return [{ kind: 'dispatch', request, ...target, grant, estimateMs }];
}

/**
 * Returns the account's virtual time without the charges of its unfinished attempts. A pool's virtual time never decreases, so an
 * estimate that may be refunded later must not advance it.
 */
function settledVirtualTimeMs(state: RouterState, req: RouterRequest): number {
  const virtualMs = getAccountVirtualTimeMs(state.ledger, req.pool, req.account, req.share);
  return virtualMs - outstandingMs(state, req.pool, req.account) / req.share;
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
