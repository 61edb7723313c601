/**
 * Reducer of a lease with a fencing number. The lease of a holder starts when its last confirmed write was sent. Another process takes the
 * lease over, with a higher fencing number, only after the lease object has kept the same version for a whole lease duration on its own clock.
 * Before each order the holder checks the remaining lease time, with a larger margin for engines that do not check fencing numbers.
 */
import type { ReducerResult } from '../reducer/index.js';
import type {
  Lease,
  LeaseEffect,
  LeaseEvent,
  LeaseOptions,
  LeaseReadOutcome,
  LeaseState,
  LeaseWriteOutcome,
} from './types.js';
import { LeasePhase } from './types.js';

export const DEFAULT_LEASE_DURATION_MS = 15_000;
/** Minimum fraction of the duration that must remain for an order to an engine that checks fencing numbers. */
export const FENCED_MARGIN_FRACTION = 0.1;
/** The same for an engine that does not check them; it covers the delivery time of the order and differences in clock rates. */
export const UNFENCED_MARGIN_FRACTION = 0.5;
/** Fraction of the duration after which a holder renews the lease. */
const RENEWAL_FRACTION = 0.25;
/** Fraction of the duration after which a failed call is retried or the lease of another holder is read again. */
const RETRY_FRACTION = 0.1;

interface Context {
  state: LeaseState;
  effects: LeaseEffect[];
  nowMs: number;
}

type EventOf<K extends LeaseEvent['kind']> = Extract<LeaseEvent, { kind: K }>;

/** Returns the key of the lease object. */
export const leaseKey = (name: string): string => `leases/${name}`;

const timeAfterFraction = (ctx: Context, fraction: number): number =>
  ctx.nowMs + fraction * ctx.state.durationMs;

const readLease = (ctx: Context): void => {
  ctx.state.phase = LeasePhase.Reading;
  ctx.effects.push({ kind: 'store-read', key: leaseKey(ctx.state.name) });
};

const writeLease = (ctx: Context, content: Omit<Lease, 'write'>): void => {
  const { state } = ctx;
  state.writes += 1;
  const lease: Lease = { ...content, write: state.writes };
  state.phase = LeasePhase.Writing;
  state.write = { lease, sentAtMs: ctx.nowMs };
  ctx.effects.push({
    kind: 'store-write',
    key: leaseKey(state.name),
    version: state.version,
    lease,
  });
};

const loseLease = (ctx: Context): void => {
  if (ctx.state.heldUntilMs === undefined) return;
  ctx.state.heldUntilMs = undefined;
  ctx.effects.push({ kind: 'lease-lost' });
};

const becomeIdle = (ctx: Context): void => {
  ctx.state.phase = LeasePhase.Idle;
  ctx.state.write = undefined;
};

const scheduleRetry = (ctx: Context): void => {
  ctx.state.phase = LeasePhase.Waiting;
  ctx.state.nextAtMs = timeAfterFraction(ctx, RETRY_FRACTION);
};

/** Handles a write that was confirmed by its response or by reading it back. */
const confirmWrite = (ctx: Context, version: number): void => {
  const { state } = ctx;
  const { write: confirmed } = state;
  state.write = undefined;
  state.version = version;
  state.lease = confirmed?.lease;
  if (confirmed?.lease.holder === undefined) {
    becomeIdle(ctx);
    return;
  }
  const wasHeld = state.heldUntilMs !== undefined;
  state.heldUntilMs = confirmed.sentAtMs + state.durationMs;
  state.phase = LeasePhase.Held;
  state.nextAtMs = confirmed.sentAtMs + RENEWAL_FRACTION * state.durationMs;
  if (!wasHeld) ctx.effects.push({ kind: 'lease-held', fencing: confirmed.lease.fencing });
};

const acquireLease = (ctx: Context): void => {
  const { holder, durationMs, lease } = ctx.state;
  writeLease(ctx, { holder, durationMs, fencing: (lease?.fencing ?? 0) + 1 });
};

const isAvailable = (ctx: Context, lease: Lease): boolean =>
  lease.holder === undefined ||
  lease.holder === ctx.state.holder ||
  ctx.nowMs - ctx.state.seenAtMs >= lease.durationMs;

const handleForeignLease = (ctx: Context, version: number, lease: Lease): void => {
  const { state } = ctx;
  if (state.version !== version) state.seenAtMs = ctx.nowMs;
  state.version = version;
  state.lease = lease;
  loseLease(ctx);
  if (isAvailable(ctx, lease)) acquireLease(ctx);
  else scheduleRetry(ctx);
};

const isOwnWrite = ({ write: own }: LeaseState, lease: Lease): boolean =>
  own !== undefined && lease.holder === own.lease.holder && lease.write === own.lease.write;

const readHandlers: {
  [C in LeaseReadOutcome['code']]: (
    ctx: Context,
    outcome: Extract<LeaseReadOutcome, { code: C }>,
  ) => void;
} = {
  failed: scheduleRetry,
  absent: (ctx) => {
    ctx.state.version = undefined;
    ctx.state.lease = undefined;
    loseLease(ctx);
    if (ctx.state.wanted) acquireLease(ctx);
    else becomeIdle(ctx);
  },
  found: (ctx, { version, lease }) => {
    const { state } = ctx;
    if (isOwnWrite(state, lease)) {
      confirmWrite(ctx, version);
      return;
    }
    state.write = undefined;
    if (state.wanted) handleForeignLease(ctx, version, lease);
    else {
      loseLease(ctx);
      becomeIdle(ctx);
    }
  },
};

const handleReadOutcome = <C extends LeaseReadOutcome['code']>(
  ctx: Context,
  outcome: Extract<LeaseReadOutcome, { code: C }>,
): void => readHandlers[outcome.code](ctx, outcome);

const writeHandlers: Record<
  LeaseWriteOutcome['code'],
  (ctx: Context, outcome: LeaseWriteOutcome) => void
> = {
  ok: (ctx, outcome) => {
    if (outcome.code === 'ok') confirmWrite(ctx, outcome.version);
  },
  // Another process has taken over, or an earlier write of this process that counted as lost has arrived late.
  conflict: (ctx) => {
    loseLease(ctx);
    readLease(ctx);
  },
  unknown: readLease,
  failed: (ctx) => {
    ctx.state.write = undefined;
    scheduleRetry(ctx);
  },
};

const expireLease = (ctx: Context): void => {
  const { heldUntilMs } = ctx.state;
  if (heldUntilMs !== undefined && ctx.nowMs >= heldUntilMs) loseLease(ctx);
};

const renewOrRead = (ctx: Context): void => {
  const { state } = ctx;
  if (state.heldUntilMs !== undefined && state.lease !== undefined) writeLease(ctx, state.lease);
  else readLease(ctx);
};

const releaseLease = (ctx: Context): void => {
  const { state } = ctx;
  const { lease } = state;
  if (state.heldUntilMs === undefined || lease === undefined) {
    becomeIdle(ctx);
    return;
  }
  loseLease(ctx);
  writeLease(ctx, { fencing: lease.fencing, durationMs: lease.durationMs });
};

const isCallPending = ({ phase }: LeaseState): boolean =>
  phase === LeasePhase.Reading || phase === LeasePhase.Writing;

/** Starts the call that is due, unless a call to the object service is pending. */
const performDueCall = (ctx: Context): void => {
  const { state, nowMs } = ctx;
  expireLease(ctx);
  if (isCallPending(state)) return;
  if (!state.wanted) {
    if (state.phase !== LeasePhase.Idle) releaseLease(ctx);
    return;
  }
  if (state.phase === LeasePhase.Idle) readLease(ctx);
  else if (nowMs >= state.nextAtMs) renewOrRead(ctx);
};

const eventHandlers: {
  [K in LeaseEvent['kind']]: (ctx: Context, event: EventOf<K>) => void;
} = {
  wanted: (ctx, { wanted }) => {
    ctx.state.wanted = wanted;
    performDueCall(ctx);
  },
  'lease-read': (ctx, { outcome }) => {
    expireLease(ctx);
    if (ctx.state.phase === LeasePhase.Reading) handleReadOutcome(ctx, outcome);
  },
  'lease-written': (ctx, { outcome }) => {
    expireLease(ctx);
    if (ctx.state.phase === LeasePhase.Writing) writeHandlers[outcome.code](ctx, outcome);
    expireLease(ctx);
  },
  order: (ctx, { order }) => {
    expireLease(ctx);
    const { heldUntilMs, durationMs, lease } = ctx.state;
    if (heldUntilMs === undefined || lease === undefined) {
      ctx.effects.push({ kind: 'refuse-order', order, code: 'lease_not_held' });
      return;
    }
    const margin = order.checksFencing ? FENCED_MARGIN_FRACTION : UNFENCED_MARGIN_FRACTION;
    const notAfterMs = heldUntilMs - margin * durationMs;
    const { fencing } = lease;
    ctx.effects.push(
      ctx.nowMs <= notAfterMs
        ? { kind: 'give-order', order, fencing, notAfterMs }
        : { kind: 'refuse-order', order, code: 'lease_too_short' },
    );
  },
  tick: performDueCall,
};

const handleEvent = <K extends LeaseEvent['kind']>(ctx: Context, event: EventOf<K>): void =>
  eventHandlers[event.kind](ctx, event);

/** Creates the state of a process that does not need the lease yet. */
export const createLeaseState = (options: LeaseOptions): LeaseState => ({
  name: options.name,
  holder: options.holder,
  durationMs: options.durationMs ?? DEFAULT_LEASE_DURATION_MS,
  phase: LeasePhase.Idle,
  wanted: false,
  seenAtMs: 0,
  writes: 0,
  nextAtMs: 0,
});

/** Reducer of one lease in one process. It expects a tick at least every twentieth of the lease duration. */
export const leaseReducer = (
  state: LeaseState,
  event: LeaseEvent,
): ReducerResult<LeaseState, LeaseEffect> => {
  const ctx: Context = { state, effects: [], nowMs: event.nowMs };
  handleEvent(ctx, event);
  return { state, effects: ctx.effects };
};
