/**
 * Reducer of a lease with a fencing number. A holder's lease counts from the moment its last confirmed write was sent; another process takes it
 * over only after it has seen the same version of the lease object for a whole duration by its own clock, and raises the fencing number. Before
 * each order the holder checks what remains of its lease, with a wide margin for engines that do not check the number.
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
/** Share of the duration that must remain before an order to an engine that checks fencing numbers. */
export const FENCED_MARGIN_FRACTION = 0.1;
/** The same for an engine that does not: covers the order's way to the engine and differences of clock rates. */
export const UNFENCED_MARGIN_FRACTION = 0.5;
/** Share of the duration after which a holder renews. */
const RENEWAL_SHARE = 0.25;
/** Share of the duration after which a failed call is repeated, and another's lease is read again. */
const RETRY_SHARE = 0.1;

interface Context {
  state: LeaseState;
  effects: LeaseEffect[];
  nowMs: number;
}

type EventOf<K extends LeaseEvent['kind']> = Extract<LeaseEvent, { kind: K }>;

/** Key of the lease object. */
export const leaseKey = (name: string): string => `leases/${name}`;

const later = (ctx: Context, share: number): number => ctx.nowMs + share * ctx.state.durationMs;

const read = (ctx: Context): void => {
  ctx.state.phase = LeasePhase.Reading;
  ctx.effects.push({ kind: 'store-read', key: leaseKey(ctx.state.name) });
};

const write = (ctx: Context, content: Omit<Lease, 'write'>): void => {
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

const lose = (ctx: Context): void => {
  if (ctx.state.heldUntilMs === undefined) return;
  ctx.state.heldUntilMs = undefined;
  ctx.effects.push({ kind: 'lease-lost' });
};

const rest = (ctx: Context): void => {
  ctx.state.phase = LeasePhase.Idle;
  ctx.state.write = undefined;
};

const waitAndRetry = (ctx: Context): void => {
  ctx.state.phase = LeasePhase.Waiting;
  ctx.state.nextAtMs = later(ctx, RETRY_SHARE);
};

/** A write was confirmed by its answer, or by reading it back. */
const confirm = (ctx: Context, version: number): void => {
  const { state } = ctx;
  const { write: confirmed } = state;
  state.write = undefined;
  state.version = version;
  state.lease = confirmed?.lease;
  if (confirmed?.lease.holder === undefined) {
    rest(ctx);
    return;
  }
  const wasHeld = state.heldUntilMs !== undefined;
  state.heldUntilMs = confirmed.sentAtMs + state.durationMs;
  state.phase = LeasePhase.Held;
  state.nextAtMs = confirmed.sentAtMs + RENEWAL_SHARE * state.durationMs;
  if (!wasHeld) ctx.effects.push({ kind: 'lease-held', fencing: confirmed.lease.fencing });
};

const acquire = (ctx: Context): void => {
  const { holder, durationMs, lease } = ctx.state;
  write(ctx, { holder, durationMs, fencing: (lease?.fencing ?? 0) + 1 });
};

const isFree = (ctx: Context, lease: Lease): boolean =>
  lease.holder === undefined ||
  lease.holder === ctx.state.holder ||
  ctx.nowMs - ctx.state.seenAtMs >= lease.durationMs;

const seeLease = (ctx: Context, version: number, lease: Lease): void => {
  const { state } = ctx;
  if (state.version !== version) state.seenAtMs = ctx.nowMs;
  state.version = version;
  state.lease = lease;
  lose(ctx);
  if (isFree(ctx, lease)) acquire(ctx);
  else waitAndRetry(ctx);
};

const isOwnWrite = ({ write: own }: LeaseState, lease: Lease): boolean =>
  own !== undefined && lease.holder === own.lease.holder && lease.write === own.lease.write;

const readHandlers: {
  [C in LeaseReadOutcome['code']]: (
    ctx: Context,
    outcome: Extract<LeaseReadOutcome, { code: C }>,
  ) => void;
} = {
  failed: waitAndRetry,
  absent: (ctx) => {
    ctx.state.version = undefined;
    ctx.state.lease = undefined;
    lose(ctx);
    if (ctx.state.wanted) acquire(ctx);
    else rest(ctx);
  },
  found: (ctx, { version, lease }) => {
    const { state } = ctx;
    if (isOwnWrite(state, lease)) {
      confirm(ctx, version);
      return;
    }
    state.write = undefined;
    if (state.wanted) seeLease(ctx, version, lease);
    else {
      lose(ctx);
      rest(ctx);
    }
  },
};

const handleRead = <C extends LeaseReadOutcome['code']>(
  ctx: Context,
  outcome: Extract<LeaseReadOutcome, { code: C }>,
): void => readHandlers[outcome.code](ctx, outcome);

const writeHandlers: Record<
  LeaseWriteOutcome['code'],
  (ctx: Context, outcome: LeaseWriteOutcome) => void
> = {
  ok: (ctx, outcome) => {
    if (outcome.code === 'ok') confirm(ctx, outcome.version);
  },
  // Another process has taken over, or an earlier write of this one, taken for lost, has come late.
  conflict: (ctx) => {
    lose(ctx);
    read(ctx);
  },
  unknown: read,
  failed: (ctx) => {
    ctx.state.write = undefined;
    waitAndRetry(ctx);
  },
};

const expire = (ctx: Context): void => {
  const { heldUntilMs } = ctx.state;
  if (heldUntilMs !== undefined && ctx.nowMs >= heldUntilMs) lose(ctx);
};

const renew = (ctx: Context): void => {
  const { state } = ctx;
  if (state.heldUntilMs !== undefined && state.lease !== undefined) write(ctx, state.lease);
  else read(ctx);
};

const release = (ctx: Context): void => {
  const { state } = ctx;
  const { lease } = state;
  if (state.heldUntilMs === undefined || lease === undefined) {
    rest(ctx);
    return;
  }
  lose(ctx);
  write(ctx, { fencing: lease.fencing, durationMs: lease.durationMs });
};

const isCalling = ({ phase }: LeaseState): boolean =>
  phase === LeasePhase.Reading || phase === LeasePhase.Writing;

/** Starts what is due; while a call to the object service is under way nothing is. */
const proceed = (ctx: Context): void => {
  const { state, nowMs } = ctx;
  expire(ctx);
  if (isCalling(state)) return;
  if (!state.wanted) {
    if (state.phase !== LeasePhase.Idle) release(ctx);
    return;
  }
  if (state.phase === LeasePhase.Idle) read(ctx);
  else if (nowMs >= state.nextAtMs) renew(ctx);
};

const eventHandlers: {
  [K in LeaseEvent['kind']]: (ctx: Context, event: EventOf<K>) => void;
} = {
  wanted: (ctx, { wanted }) => {
    ctx.state.wanted = wanted;
    proceed(ctx);
  },
  'lease-read': (ctx, { outcome }) => {
    expire(ctx);
    if (ctx.state.phase === LeasePhase.Reading) handleRead(ctx, outcome);
  },
  'lease-written': (ctx, { outcome }) => {
    expire(ctx);
    if (ctx.state.phase === LeasePhase.Writing) writeHandlers[outcome.code](ctx, outcome);
    expire(ctx);
  },
  order: (ctx, { order }) => {
    expire(ctx);
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
  tick: proceed,
};

const handle = <K extends LeaseEvent['kind']>(ctx: Context, event: EventOf<K>): void =>
  eventHandlers[event.kind](ctx, event);

/** State of a process that does not need the lease yet. */
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

/** Reducer of one lease in one process. Ticks come at least every twentieth of the duration. */
export const leaseReducer = (
  state: LeaseState,
  event: LeaseEvent,
): ReducerResult<LeaseState, LeaseEffect> => {
  const ctx: Context = { state, effects: [], nowMs: event.nowMs };
  handle(ctx, event);
  return { state, effects: ctx.effects };
};
