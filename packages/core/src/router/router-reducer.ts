/**
 * Reducer of the router: queues requests by pool and client account, dispatches them into slots that sidecars grant, and
 * follows each attempt to its end.
 */
import { createClaimState } from '../claims/index.js';
import {
  advancePoolVirtualTime,
  chargeService,
  createCostEstimator,
  createLedger,
  estimateCostMs,
  refundService,
} from '../fairness/index.js';
import type { Reducer } from '../loop/index.js';
import type { LinkMessage } from '../protocol/index.js';
import { DispatchPolicy } from '../sidecar/index.js';
import {
  askAgain,
  chargeOverruns,
  costKey,
  endAttempt,
  learnOutcome,
  requeueNotRun,
  startAsking,
} from './attempts.js';
import { stepClaim, withdraw } from './claiming.js';
import type { UntimedClaimEvent } from './claiming.js';
import { refreshDemand, sendUntoldDemand, sendUrgentDemand } from './demand.js';
import { pushAtRandom, useCredits, useGrant } from './dispatching.js';
import { samplePoolTimes } from './pool-times.js';
import { dequeue, enqueue, waitingCount } from './queues.js';
import { RefusalCode, RequestState } from './types.js';
import type {
  ClaimResultEvent,
  IdempotencyKeyState,
  IncomingRequest,
  RouterEffect,
  RouterEvent,
  RouterOptions,
  RouterRequest,
  RouterState,
  LinkedSidecar,
} from './types.js';

type EventOf<K extends RouterEvent['kind']> = Extract<RouterEvent, { kind: K }>;
type MessageOf<K extends LinkMessage['kind']> = Extract<LinkMessage, { kind: K }>;
type Handlers = {
  [K in RouterEvent['kind']]: (state: RouterState, event: EventOf<K>) => RouterEffect[];
};
type MessageHandlers = {
  [K in LinkMessage['kind']]?: (
    state: RouterState,
    sidecar: LinkedSidecar,
    message: MessageOf<K>,
    nowMs: number,
  ) => RouterEffect[];
};

const RETRIES_PER_REQUEST = 0.1;
const MAX_RETRY_BUDGET = 100;
const MIN_RETRY_AFTER_MS = 1000;

/** Creates the state of a router that has no links yet. */
export function createRouterState(
  options: Partial<RouterOptions> & Pick<RouterOptions, 'incarnation'>,
): RouterState {
  const filled: RouterOptions = {
    policy: DispatchPolicy.Fair,
    demandPeriodMs: 1000,
    outcomeTimeoutMs: 5000,
    maxTries: 3,
    lagBoundMs: 60_000,
    ...options,
  };
  return {
    options: filled,
    sidecars: new Map(),
    pools: new Map(),
    requests: new Map(),
    attempts: new Map(),
    ledger: createLedger({ lagBoundMs: filled.lagBoundMs }),
    estimator: createCostEstimator(),
    nextAttempt: 1,
    nextFanOut: 0,
    retryBudget: MAX_RETRY_BUDGET,
    wallOffsetMs: 0,
    stopping: false,
  };
}

const messageHandlers: MessageHandlers = {
  grant: (state, sidecar, message, nowMs) => {
    advancePoolVirtualTime(state.ledger, sidecar.pool, message.poolVirtualTimeMs);
    return useGrant(state, sidecar, message.grant, message.account, nowMs);
  },

  credits: (state, sidecar, message, nowMs) => {
    advancePoolVirtualTime(state.ledger, sidecar.pool, message.poolVirtualTimeMs);
    sidecar.credits = message.credits;
    sidecar.creditsUsed = 0;
    sidecar.creditEpoch += 1;
    return useCredits(state, sidecar.pool, nowMs);
  },

  leaving: (state, sidecar, message, nowMs) => {
    sidecar.leaving = message.leaving;
    sidecar.credits = 0;
    sidecar.sent.clear();
    return message.leaving ? [] : sendUrgentDemand(state, sidecar.pool, nowMs);
  },

  settle: (state, _sidecar, message) => {
    if (message.chargeMs > 0) {
      chargeService(state.ledger, message.pool, message.account, message.chargeMs);
    }
    if (message.refundMs > 0) {
      refundService(state.ledger, message.pool, message.account, message.refundMs);
    }
    return [];
  },
};

const handlers: Handlers = {
  'request-arrived': (state, { info, seed, nowMs }) => {
    if (state.stopping) return refuseArrived(info, RefusalCode.ShuttingDown, 0);
    if (waitingCount(state, info.pool, info.account) >= info.maxQueued) {
      return refuseArrived(info, RefusalCode.QueueFull, MIN_RETRY_AFTER_MS);
    }
    state.retryBudget = Math.min(MAX_RETRY_BUDGET, state.retryBudget + RETRIES_PER_REQUEST);
    const req = newRequest(state, info, seed, nowMs);
    state.requests.set(req.request, req);
    if (info.claim) {
      state.wallOffsetMs = info.claim.arrivedWallMs - nowMs;
      return stepClaim(state, req, { kind: 'request' }, nowMs);
    }
    enqueue(state, req, false);
    return serveArrived(state, req, nowMs);
  },

  'claim-read': (state, { outcome, ...times }) =>
    claimAnswered(state, times, { kind: 'claim-read', outcome }),
  'claim-written': (state, { outcome, ...times }) =>
    claimAnswered(state, times, { kind: 'claim-written', outcome }),
  'attempt-asked': (state, { outcome, ...times }) =>
    claimAnswered(state, times, { kind: 'attempt-asked', outcome }),
  'answer-fetched': (state, { answer, ...times }) =>
    claimAnswered(state, times, { kind: 'answer-fetched', answer }),

  'request-gone': (state, { request, nowMs }) => {
    const req = state.requests.get(request);
    if (!req) return [];
    if (req.keyed) return keyedCallerGone(state, req, req.keyed, nowMs);
    if (req.state === RequestState.Waiting) {
      dequeue(state, req);
      state.requests.delete(request);
      return [];
    }
    const attempt = req.attempt === null ? undefined : state.attempts.get(req.attempt);
    if (!attempt) {
      state.requests.delete(request);
      return [];
    }
    req.gone = true;
    return [{ kind: 'cancel', attempt: attempt.attempt, dataUrl: attempt.dataUrl }];
  },

  'sidecar-linked': (state, { nowMs, link, backend, pool, dataUrl, incarnation, distance }) => {
    state.sidecars.set(link, {
      link,
      backend,
      pool,
      dataUrl,
      incarnation,
      distance,
      leaving: false,
      credits: 0,
      creditsUsed: 0,
      creditEpoch: 0,
      sent: new Map(),
      lastDemandMs: 0,
    });
    return sendUrgentDemand(state, pool, nowMs);
  },

  'sidecar-unlinked': (state, { link }) => {
    state.sidecars.delete(link);
    return [];
  },

  message: (state, { link, message, nowMs }) => {
    const sidecar = state.sidecars.get(link);
    if (!sidecar) return [];
    const handle = messageHandlers[message.kind] as
      ((s: RouterState, v: LinkedSidecar, m: LinkMessage, n: number) => RouterEffect[]) | undefined;
    return handle ? handle(state, sidecar, message, nowMs) : [];
  },

  'attempt-refused': (state, { attempt, nowMs }) => {
    const refused = state.attempts.get(attempt);
    if (!refused) return [];
    const sidecar = state.sidecars.get(refused.link);
    if (sidecar && refused.creditEpoch === sidecar.creditEpoch) sidecar.credits = 0;
    const effects = requeueNotRun(state, refused, nowMs);
    const req = state.requests.get(refused.request);
    if (req) effects.push(...dispatchWaiting(state, req.pool, nowMs));
    return effects;
  },

  'attempt-ended': (state, { attempt, slotMs, answer, nowMs }) => {
    const ended = state.attempts.get(attempt);
    return ended ? endAttempt(state, ended, { slotMs, answer }, nowMs) : [];
  },

  'attempt-lost': (state, { attempt, relayedBytes, headRelayed, nowMs }) => {
    const lost = state.attempts.get(attempt);
    if (!lost) return [];
    lost.relayedBytes = relayedBytes;
    lost.headRelayed = headRelayed;
    return startAsking(state, lost, nowMs);
  },

  'outcome-learned': (state, { attempt, outcome, nowMs }) => {
    const lost = state.attempts.get(attempt);
    if (!lost) return [];
    const effects = learnOutcome(state, lost, outcome, nowMs);
    const req = state.requests.get(lost.request);
    if (req?.state === RequestState.Waiting)
      effects.push(...dispatchWaiting(state, req.pool, nowMs));
    return effects;
  },

  stop: (state) => {
    state.stopping = true;
    return [...state.sidecars.keys()].map((link) => ({
      kind: 'send',
      link,
      message: { kind: 'leaving', leaving: true },
    }));
  },

  tick: (state, { nowMs }) => {
    chargeOverruns(state, nowMs);
    samplePoolTimes(state, nowMs);
    const effects = expireWaiting(state, nowMs);
    effects.push(...askAgain(state, nowMs));
    effects.push(...sendUntoldDemand(state, nowMs));
    effects.push(...refreshDemand(state, nowMs));
    return effects;
  },
};

/** Applies one event. */
export const routerReducer: Reducer<RouterState, RouterEvent, RouterEffect> = (state, event) => {
  const handle = handlers[event.kind] as (s: RouterState, e: RouterEvent) => RouterEffect[];
  const effects = handle(state, event);
  if (state.stopping && state.requests.size === 0) effects.push({ kind: 'stopped' });
  return { state, effects };
};

function dispatchWaiting(state: RouterState, pool: string, nowMs: number): RouterEffect[] {
  const effects = useCredits(state, pool, nowMs);
  effects.push(...sendUrgentDemand(state, pool, nowMs));
  return effects;
}

/** Serves the pool after a request joined its queue for the first time. */
function serveArrived(state: RouterState, req: RouterRequest, nowMs: number): RouterEffect[] {
  if (state.options.policy === DispatchPolicy.Naive) return pushAtRandom(state, req, nowMs);
  return dispatchWaiting(state, req.pool, nowMs);
}

/** Feeds the claim with an answer; its request may have joined the queue, or have given back a credit. */
function claimAnswered(
  state: RouterState,
  { request, nowMs, wallMs }: Pick<ClaimResultEvent, 'request' | 'nowMs' | 'wallMs'>,
  event: UntimedClaimEvent,
): RouterEffect[] {
  state.wallOffsetMs = wallMs - nowMs;
  const req = state.requests.get(request);
  if (!req) return [];
  const effects = stepClaim(state, req, event, nowMs);
  if (req.state === RequestState.Waiting) effects.push(...serveArrived(state, req, nowMs));
  else if (req.attempt === null) effects.push(...dispatchWaiting(state, req.pool, nowMs));
  return effects;
}

/** Takes the request out if it waits; an attempt runs to its end, as its answer is recorded. */
function keyedCallerGone(
  state: RouterState,
  req: RouterRequest,
  keyed: IdempotencyKeyState,
  nowMs: number,
): RouterEffect[] {
  keyed.callerGone = true;
  if (req.state !== RequestState.Waiting) return [];
  dequeue(state, req);
  return withdraw(state, req, nowMs);
}

function newKeyed(state: RouterState, { claim }: IncomingRequest): IdempotencyKeyState | null {
  if (!claim) return null;
  const { key, bodyDigest } = claim;
  const { incarnation: routerIncarnation } = state.options;
  return {
    claim: createClaimState({ key, bodyDigest, routerIncarnation }),
    callerGone: false,
    queuedBefore: false,
  };
}

function newRequest(
  state: RouterState,
  info: IncomingRequest,
  seed: number,
  nowMs: number,
): RouterRequest {
  const req: RouterRequest = {
    ...info,
    state: info.claim ? RequestState.Checking : RequestState.Waiting,
    arrivedAtMs: nowMs,
    estimateMs: 0,
    attempt: null,
    tries: 0,
    gone: false,
    keyed: newKeyed(state, info),
    seed,
  };
  req.estimateMs = Math.max(1, Math.round(estimateCostMs(state.estimator, costKey(req))));
  return req;
}

function refuse(request: string, code: RefusalCode, retryAfterMs: number): RouterEffect {
  return { kind: 'refuse', request, code, ran: 'no', retryAfterMs };
}

/** A request that waits for another try may have run already. */
function timedOut({ request, tries }: RouterRequest): RouterEffect {
  if (tries === 0) return refuse(request, RefusalCode.QueueTimeout, MIN_RETRY_AFTER_MS);
  const code = RefusalCode.OutcomeUnknown;
  return { kind: 'refuse', request, code, ran: 'unknown', retryAfterMs: MIN_RETRY_AFTER_MS };
}

function refuseArrived(
  { request, claim }: IncomingRequest,
  code: RefusalCode,
  retryAfterMs: number,
): RouterEffect[] {
  const refusal = refuse(request, code, retryAfterMs);
  return claim ? [refusal, { kind: 'forget', request }] : [refusal];
}

function expireWaiting(state: RouterState, nowMs: number): RouterEffect[] {
  const effects: RouterEffect[] = [];
  state.requests.forEach((req) => {
    if (req.state !== RequestState.Waiting) return;
    const waitedMs = nowMs - req.arrivedAtMs;
    if (waitedMs < req.queueTimeoutMs) return;
    dequeue(state, req);
    effects.push(timedOut(req));
    if (req.keyed) effects.push(...withdraw(state, req, nowMs));
    else state.requests.delete(req.request);
  });
  return effects;
}
