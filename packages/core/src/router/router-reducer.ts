/**
 * Reducer of the router: queues requests by pool and client account, dispatches them to slots granted by sidecars, and tracks each
 * attempt until it ends.
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
import type { Reducer } from '../reducer/index.js';
import type { LinkMessage } from '../protocol/index.js';
import { DispatchPolicy } from '../sidecar/index.js';
import {
  chargeOverruns,
  costHints,
  endAttempt,
  handleOutcome,
  repeatOutcomeQueries,
  requeueRequest,
  startOutcomeQuery,
} from './attempts.js';
import { applyClaimEvent, withdrawRequest } from './claiming.js';
import type { UntimedClaimEvent } from './claiming.js';
import { refreshDemand, sendNewDemand, sendUnreportedDemand } from './demand.js';
import { pushToRandomSidecar, useCredits, useGrant } from './dispatching.js';
import { samplePoolTimes } from './pool-time-samples.js';
import { dequeue, enqueue, waitingCount } from './queues.js';
import { RefusalCode, RequestState } from './types.js';
import type {
  ClaimResultEvent,
  IdempotencyKeyState,
  IncomingRequest,
  LinkedSidecar,
  RouterEffect,
  RouterEvent,
  RouterOptions,
  RouterRequest,
  RouterState,
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

/** Retries added to the budget by each arriving request. */
const RETRY_BUDGET_PER_REQUEST = 0.1;
/** Maximum number of accumulated retries. */
const MAX_RETRY_BUDGET = 100;
/** Value of `Retry-After` in refusals, in milliseconds. */
const RETRY_AFTER_MS = 1000;

/** Creates the state of a router without links. */
export function createRouterState(
  options: Partial<RouterOptions> & Pick<RouterOptions, 'incarnation'>,
): RouterState {
  const resolvedOptions: RouterOptions = {
    policy: DispatchPolicy.Fair,
    demandPeriodMs: 1000,
    outcomeTimeoutMs: 5000,
    maxTries: 3,
    lagBoundMs: 60_000,
    ...options,
  };
  return {
    options: resolvedOptions,
    sidecars: new Map(),
    pools: new Map(),
    requests: new Map(),
    attempts: new Map(),
    ledger: createLedger({ lagBoundMs: resolvedOptions.lagBoundMs }),
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
    return message.leaving ? [] : sendNewDemand(state, sidecar.pool, nowMs);
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
    if (state.stopping) return refuseOnArrival(info, RefusalCode.ShuttingDown, 0);
    if (waitingCount(state, info.pool, info.account) >= info.maxQueued) {
      return refuseOnArrival(info, RefusalCode.QueueFull, RETRY_AFTER_MS);
    }
    state.retryBudget = Math.min(MAX_RETRY_BUDGET, state.retryBudget + RETRY_BUDGET_PER_REQUEST);
    const req = createRequest(state, info, seed, nowMs);
    state.requests.set(req.request, req);
    if (info.claim) {
      state.wallOffsetMs = info.claim.arrivedWallMs - nowMs;
      return applyClaimEvent(state, req, { kind: 'request' }, nowMs);
    }
    enqueue(state, req, false);
    return dispatchNewRequest(state, req, nowMs);
  },

  'claim-read': (state, { outcome, ...context }) =>
    handleClaimResult(state, context, { kind: 'claim-read', outcome }),
  'claim-written': (state, { outcome, ...context }) =>
    handleClaimResult(state, context, { kind: 'claim-written', outcome }),
  'attempt-asked': (state, { outcome, ...context }) =>
    handleClaimResult(state, context, { kind: 'attempt-asked', outcome }),
  'answer-fetched': (state, { answer, ...context }) =>
    handleClaimResult(state, context, { kind: 'answer-fetched', answer }),

  'request-gone': (state, { request, nowMs }) => {
    const req = state.requests.get(request);
    if (!req) return [];
    if (req.keyed) return handleKeyedCallerGone(state, req, req.keyed, nowMs);
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
    return sendNewDemand(state, pool, nowMs);
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
    const effects = requeueRequest(state, refused, nowMs);
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
    return startOutcomeQuery(state, lost, nowMs);
  },

  'outcome-learned': (state, { attempt, outcome, nowMs }) => {
    const lost = state.attempts.get(attempt);
    if (!lost) return [];
    const effects = handleOutcome(state, lost, outcome, nowMs);
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
    const effects = expireWaitingRequests(state, nowMs);
    effects.push(...repeatOutcomeQueries(state, nowMs));
    effects.push(...sendUnreportedDemand(state, nowMs));
    effects.push(...refreshDemand(state, nowMs));
    return effects;
  },
};

/** Applies an event to the router's state and returns the resulting effects. */
export const routerReducer: Reducer<RouterState, RouterEvent, RouterEffect> = (state, event) => {
  const handle = handlers[event.kind] as (s: RouterState, e: RouterEvent) => RouterEffect[];
  const effects = handle(state, event);
  if (state.stopping && state.requests.size === 0) effects.push({ kind: 'stopped' });
  return { state, effects };
};

function dispatchWaiting(state: RouterState, pool: string, nowMs: number): RouterEffect[] {
  const effects = useCredits(state, pool, nowMs);
  effects.push(...sendNewDemand(state, pool, nowMs));
  return effects;
}

/** Dispatches a request after it was queued for the first time. */
function dispatchNewRequest(state: RouterState, req: RouterRequest, nowMs: number): RouterEffect[] {
  if (state.options.policy === DispatchPolicy.Naive) return pushToRandomSidecar(state, req, nowMs);
  return dispatchWaiting(state, req.pool, nowMs);
}

/** Applies the result of a claim effect, then dispatches the pool if the request was queued or its slot was released. */
function handleClaimResult(
  state: RouterState,
  { request, nowMs, wallMs }: Pick<ClaimResultEvent, 'request' | 'nowMs' | 'wallMs'>,
  event: UntimedClaimEvent,
): RouterEffect[] {
  state.wallOffsetMs = wallMs - nowMs;
  const req = state.requests.get(request);
  if (!req) return [];
  const effects = applyClaimEvent(state, req, event, nowMs);
  if (req.state === RequestState.Waiting) effects.push(...dispatchNewRequest(state, req, nowMs));
  else if (req.attempt === null) effects.push(...dispatchWaiting(state, req.pool, nowMs));
  return effects;
}

/** Withdraws a waiting request whose caller disconnected; an attempt continues so that its response can be recorded. */
function handleKeyedCallerGone(
  state: RouterState,
  req: RouterRequest,
  keyed: IdempotencyKeyState,
  nowMs: number,
): RouterEffect[] {
  keyed.callerGone = true;
  if (req.state !== RequestState.Waiting) return [];
  dequeue(state, req);
  return withdrawRequest(state, req, nowMs);
}

function createIdempotencyKeyState(
  state: RouterState,
  { claim }: IncomingRequest,
): IdempotencyKeyState | null {
  if (!claim) return null;
  const { key, bodyDigest } = claim;
  const { incarnation: routerIncarnation } = state.options;
  return {
    claim: createClaimState({ key, bodyDigest, routerIncarnation }),
    callerGone: false,
    queuedBefore: false,
  };
}

function createRequest(
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
    keyed: createIdempotencyKeyState(state, info),
    seed,
  };
  req.estimateMs = Math.max(1, Math.round(estimateCostMs(state.estimator, costHints(req))));
  return req;
}

function notRunRefusal(request: string, code: RefusalCode, retryAfterMs: number): RouterEffect {
  return { kind: 'refuse', request, code, ran: 'no', retryAfterMs };
}

/** Returns the refusal of a request whose queue timeout passed; after an earlier attempt its outcome is unknown. */
function queueTimeoutRefusal({ request, tries }: RouterRequest): RouterEffect {
  if (tries === 0) return notRunRefusal(request, RefusalCode.QueueTimeout, RETRY_AFTER_MS);
  const code = RefusalCode.OutcomeUnknown;
  return { kind: 'refuse', request, code, ran: 'unknown', retryAfterMs: RETRY_AFTER_MS };
}

function refuseOnArrival(
  { request, claim }: IncomingRequest,
  code: RefusalCode,
  retryAfterMs: number,
): RouterEffect[] {
  const refusal = notRunRefusal(request, code, retryAfterMs);
  return claim ? [refusal, { kind: 'forget', request }] : [refusal];
}

function expireWaitingRequests(state: RouterState, nowMs: number): RouterEffect[] {
  const effects: RouterEffect[] = [];
  state.requests.forEach((req) => {
    if (req.state !== RequestState.Waiting) return;
    const waitedMs = nowMs - req.arrivedAtMs;
    if (waitedMs < req.queueTimeoutMs) return;
    dequeue(state, req);
    effects.push(queueTimeoutRefusal(req));
    if (req.keyed) effects.push(...withdrawRequest(state, req, nowMs));
    else state.requests.delete(req.request);
  });
  return effects;
}
