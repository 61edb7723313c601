/**
 * Requests with an `Idempotency-Key` inside the router: feeds the claim of each with what happens to the request, and turns the
 * claim's effects into the router's. A granted slot is held while the claim is written.
 */
import { ClaimPhase, claimReducer } from '../claims/index.js';
import type { ClaimEffect, ClaimEvent } from '../claims/index.js';
import { enqueue, waitingCount } from './queues.js';
import { settleAttempt } from './settling.js';
import { RefusalCode, RequestState } from './types.js';
import type {
  ForwardedClaimEffect,
  IdempotencyKeyState,
  RouterEffect,
  RouterRequest,
  RouterState,
} from './types.js';

const RETRY_AFTER_MS = 1000;

type Untimed<T> = T extends ClaimEvent ? Omit<T, 'nowMs'> : never;
/** An event of the claim, without its wall-clock time. */
export type UntimedClaimEvent = Untimed<ClaimEvent>;

interface Context {
  state: RouterState;
  req: RouterRequest;
  keyed: IdempotencyKeyState;
  nowMs: number;
}
type EffectOf<K extends ClaimEffect['kind']> = Extract<ClaimEffect, { kind: K }>;
type Handlers = {
  [K in ClaimEffect['kind']]: (ctx: Context, effect: EffectOf<K>) => RouterEffect[];
};

/** Refusals after which the same request may succeed. */
const RETRIED_REFUSALS: ReadonlySet<string> = new Set([
  RefusalCode.InProgress,
  RefusalCode.ClaimStoreUnavailable,
]);

type PassedEffect = Extract<ClaimEffect, { kind: ForwardedClaimEffect['kind'] }>;

function passOn({ req }: Context, effect: PassedEffect): RouterEffect[] {
  return [{ ...effect, request: req.request }];
}

function refuseFull(request: string): RouterEffect {
  const code = RefusalCode.QueueFull;
  return { kind: 'refuse', request, code, ran: 'no', retryAfterMs: RETRY_AFTER_MS };
}

const handlers: Handlers = {
  'store-read': passOn,
  'store-create': passOn,
  'store-update': passOn,
  'store-remove': passOn,
  'bar-attempt': passOn,
  'fetch-answer': passOn,
  answer: passOn,

  'await-slot': ({ state, req, keyed, nowMs }) => {
    const isFirst = !keyed.queuedBefore;
    if (keyed.callerGone) return withdraw(state, req, nowMs);
    if (isFirst && waitingCount(state, req.pool, req.account) >= req.maxQueued) {
      return [refuseFull(req.request), ...withdraw(state, req, nowMs)];
    }
    keyed.queuedBefore = true;
    req.state = RequestState.Waiting;
    enqueue(state, req, !isFirst);
    return [];
  },

  'decline-slot': ({ state, req }, { target }) => {
    const attempt = state.attempts.get(target.attempt);
    if (!attempt) return [];
    settleAttempt(state, attempt, 0);
    req.attempt = null;
    const { link, grant } = attempt;
    if (typeof grant !== 'number') return [];
    return [{ kind: 'send', link, message: { kind: 'decline', grant } }];
  },

  dispatch: ({ state, req }, { target }) => {
    const attempt = state.attempts.get(target.attempt);
    if (!attempt) return [];
    const { grant } = attempt;
    req.state = RequestState.Dispatched;
    const { request, estimateMs } = req;
    return [{ kind: 'dispatch', request, ...target, grant, estimateMs }];
  },

  refuse: ({ req }, { code, ran }) => {
    const retryAfterMs = RETRIED_REFUSALS.has(code) ? RETRY_AFTER_MS : null;
    return [{ kind: 'refuse', request: req.request, code, ran, retryAfterMs }];
  },
};

/** Applies an event to the request's claim. Afterwards the request may wait, and its pool is to be served. */
export function stepClaim(
  state: RouterState,
  req: RouterRequest,
  event: UntimedClaimEvent,
  nowMs: number,
): RouterEffect[] {
  const { keyed } = req;
  if (!keyed) return [];
  const ctx: Context = { state, req, keyed, nowMs };
  const timed = { ...event, nowMs: nowMs + state.wallOffsetMs };
  const effects = claimReducer(keyed.claim, timed).effects.flatMap((effect) => {
    const handle = handlers[effect.kind] as (c: Context, e: ClaimEffect) => RouterEffect[];
    return handle(ctx, effect);
  });
  if (keyed.claim.phase === ClaimPhase.Done && state.requests.delete(req.request)) {
    effects.push({ kind: 'forget', request: req.request });
  }
  return effects;
}

/** Takes a request that waits, and is out of its queue, off the router. */
export function withdraw(state: RouterState, req: RouterRequest, nowMs: number): RouterEffect[] {
  return stepClaim(state, req, { kind: 'withdrawn' }, nowMs);
}
