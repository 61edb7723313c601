/**
 * Connects requests with an `Idempotency-Key` to the claim reducer: passes events of the request to its claim and converts the claim's
 * effects into router effects. A granted slot is reserved while the claim is written.
 */
import { ClaimPhase, claimReducer } from '../claims/index.js';
import type { ClaimEffect, ClaimEvent } from '../claims/index.js';
import { enqueue, waitingCount } from './queues.js';
import { settleAttempt } from './settle-attempt.js';
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
/** Claim event without its wall-clock time. */
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

/** Refusal codes after which the same request may succeed when it is repeated. */
const RETRYABLE_REFUSALS: ReadonlySet<string> = new Set([
  RefusalCode.InProgress,
  RefusalCode.ClaimStoreUnavailable,
]);

type ForwardedEffect = Extract<ClaimEffect, { kind: ForwardedClaimEffect['kind'] }>;

function forwardEffect({ req }: Context, effect: ForwardedEffect): RouterEffect[] {
  return [{ ...effect, request: req.request }];
}

function queueFullRefusal(request: string): RouterEffect {
  const code = RefusalCode.QueueFull;
  return { kind: 'refuse', request, code, ran: 'no', retryAfterMs: RETRY_AFTER_MS };
}

const handlers: Handlers = {
  'store-read': forwardEffect,
  'store-create': forwardEffect,
  'store-update': forwardEffect,
  'store-remove': forwardEffect,
  'bar-attempt': forwardEffect,
  'fetch-answer': forwardEffect,
  answer: forwardEffect,

  'await-slot': ({ state, req, keyed, nowMs }) => {
    const isFirstEnqueue = !keyed.queuedBefore;
    if (keyed.callerGone) return withdrawRequest(state, req, nowMs);
    if (isFirstEnqueue && waitingCount(state, req.pool, req.account) >= req.maxQueued) {
      return [queueFullRefusal(req.request), ...withdrawRequest(state, req, nowMs)];
    }
    keyed.queuedBefore = true;
    req.state = RequestState.Waiting;
    enqueue(state, req, !isFirstEnqueue);
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
    const retryAfterMs = RETRYABLE_REFUSALS.has(code) ? RETRY_AFTER_MS : null;
    return [{ kind: 'refuse', request: req.request, code, ran, retryAfterMs }];
  },
};

/** Applies an event to the request's claim. The caller must dispatch the pool if the request is waiting afterwards. */
export function applyClaimEvent(
  state: RouterState,
  req: RouterRequest,
  event: UntimedClaimEvent,
  nowMs: number,
): RouterEffect[] {
  const { keyed } = req;
  if (!keyed) return [];
  const ctx: Context = { state, req, keyed, nowMs };
  const timedEvent = { ...event, nowMs: nowMs + state.wallOffsetMs };
  const effects = claimReducer(keyed.claim, timedEvent).effects.flatMap((effect) => {
    const handle = handlers[effect.kind] as (c: Context, e: ClaimEffect) => RouterEffect[];
    return handle(ctx, effect);
  });
  if (keyed.claim.phase === ClaimPhase.Done && state.requests.delete(req.request)) {
    effects.push({ kind: 'forget', request: req.request });
  }
  return effects;
}

/** Ends the claim of a request that was removed from its queue before dispatch. */
export function withdrawRequest(
  state: RouterState,
  req: RouterRequest,
  nowMs: number,
): RouterEffect[] {
  return applyClaimEvent(state, req, { kind: 'withdrawn' }, nowMs);
}
