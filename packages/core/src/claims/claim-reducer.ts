/**
 * Reducer of one request with an `Idempotency-Key` at one router.
 *
 * The claim is read when the request arrives; without one the request is queued. When a slot is granted, the claim is created naming the
 * attempt and its sidecar, and only then is the attempt dispatched. When the attempt has ended, its answer goes into the claim. A request that
 * finds a claim of an unfinished attempt asks that attempt's sidecar, which bars an attempt it never got; only a barred attempt is replaced, by
 * a write conditional on the version that was read. A claim that is not confirmed is never dispatched, so that a refusal is true.
 */
import type { ReducerResult } from '../reducer/index.js';
import type {
  ReportedAttemptState,
  ClaimedAttemptOutcome,
  AttemptTarget,
  Claim,
  ClaimEffect,
  ClaimEvent,
  ClaimRefusal,
  ClaimReadOutcome,
  ClaimState,
  ClaimWriteOutcome,
} from './types.js';
import { ClaimPhase, ClaimRefusal as Refusal, ClaimStatus } from './types.js';

/** How long a claim guards its key; far above the longest time that a request may take. */
export const CLAIM_TTL_MS = 24 * 60 * 60 * 1000;
/** Age below which a claim counts as in progress without asking its sidecar, as that would bar an attempt about to be sent. */
export const CLAIM_IN_PROGRESS_GRACE_MS = 2_000;
/**
 * Age from which a sidecar is no longer asked to bar an attempt, only for its answer. Its journal forgets ended attempts after a while, and would
 * then bar, as one that never came, an attempt that has run; so this stays well below the journal's time, see `journalKeepMs`.
 */
export const MAX_BARRABLE_CLAIM_AGE_MS = 60_000;
/** Writes of one claim, or of one answer, at most. */
export const MAX_CLAIM_WRITES = 3;

interface Context {
  state: ClaimState;
  effects: ClaimEffect[];
  nowMs: number;
}

type EventOf<K extends ClaimEvent['kind']> = Extract<ClaimEvent, { kind: K }>;

const targetOf = (claim: Claim): AttemptTarget => ({
  attempt: claim.attempt,
  backend: claim.backend,
  sidecarIncarnation: claim.sidecarIncarnation,
  dataUrl: claim.dataUrl,
});

const enter = (ctx: Context, phase: ClaimPhase): void => {
  ctx.state.phase = phase;
  ctx.state.writes = 0;
};

const refuse = (ctx: Context, code: ClaimRefusal, ran: 'no' | 'unknown'): void => {
  enter(ctx, ClaimPhase.Done);
  ctx.effects.push({ kind: 'refuse', code, ran });
};

const read = (ctx: Context): void => {
  ctx.state.phase = ClaimPhase.Reading;
  ctx.effects.push({ kind: 'store-read', key: ctx.state.key });
};

const awaitSlot = (ctx: Context): void => {
  enter(ctx, ClaimPhase.Queued);
  ctx.effects.push({ kind: 'await-slot' });
};

const write = (ctx: Context, claim: Claim): void => {
  const { state } = ctx;
  const { key, version } = state;
  state.claim = claim;
  state.writes += 1;
  ctx.effects.push(
    version === undefined
      ? { kind: 'store-create', key, claim }
      : { kind: 'store-update', key, version, claim },
  );
};

const dispatch = (ctx: Context, claim: Claim): void => {
  ctx.state.unconfirmed = undefined;
  // After a long pause the sidecar may have barred the attempt for a repeat, and forgotten that again.
  if (ctx.nowMs - claim.claimedAtMs >= MAX_BARRABLE_CLAIM_AGE_MS) {
    ctx.effects.push({ kind: 'decline-slot', target: targetOf(claim) });
    awaitSlot(ctx);
    return;
  }
  enter(ctx, ClaimPhase.Running);
  ctx.effects.push({ kind: 'dispatch', target: targetOf(claim) });
};

const declineUnconfirmed = (ctx: Context): void => {
  const { unconfirmed } = ctx.state;
  if (unconfirmed === undefined) return;
  ctx.state.unconfirmed = undefined;
  ctx.effects.push({ kind: 'decline-slot', target: targetOf(unconfirmed) });
};

const answerRecorded = (ctx: Context, claim: Claim): void => {
  if (claim.answer === undefined) {
    refuse(ctx, Refusal.AnswerNotKept, 'unknown');
    return;
  }
  enter(ctx, ClaimPhase.Done);
  ctx.effects.push({ kind: 'answer', answer: claim.answer });
};

const isBeyondAsking = ({ nowMs }: Context, claim: Claim): boolean =>
  nowMs - claim.claimedAtMs > MAX_BARRABLE_CLAIM_AGE_MS;

const fetchAnswer = (ctx: Context, claim: Claim): void => {
  enter(ctx, ClaimPhase.Fetching);
  ctx.effects.push({ kind: 'fetch-answer', target: targetOf(claim) });
};

/** Decides on a claim that is not of this request's own current attempt. */
const considerClaim = (ctx: Context, claim: Claim): void => {
  if (claim.expiresAtMs <= ctx.nowMs) awaitSlot(ctx);
  else if (claim.bodyDigest !== ctx.state.bodyDigest) refuse(ctx, Refusal.KeyReused, 'no');
  else if (claim.state === ClaimStatus.Recorded) answerRecorded(ctx, claim);
  else if (ctx.nowMs - claim.claimedAtMs < CLAIM_IN_PROGRESS_GRACE_MS) {
    refuse(ctx, Refusal.InProgress, 'unknown');
  } else if (isBeyondAsking(ctx, claim)) {
    fetchAnswer(ctx, claim);
  } else {
    enter(ctx, ClaimPhase.Barring);
    ctx.effects.push({ kind: 'bar-attempt', target: targetOf(claim) });
  }
};

/** The claim does not exist: queue, or write again if a write of it was lost. */
const considerAbsence = (ctx: Context): void => {
  const { state } = ctx;
  state.version = undefined;
  state.claim = undefined;
  const { unconfirmed } = state;
  if (unconfirmed === undefined) {
    awaitSlot(ctx);
  } else if (state.writes >= MAX_CLAIM_WRITES) {
    declineUnconfirmed(ctx);
    refuse(ctx, Refusal.StoreUnavailable, 'no');
  } else {
    state.phase = ClaimPhase.Claiming;
    write(ctx, unconfirmed);
  }
};

const readHandlers: {
  [C in ClaimReadOutcome['code']]: (
    ctx: Context,
    outcome: Extract<ClaimReadOutcome, { code: C }>,
  ) => void;
} = {
  failed: (ctx) => {
    declineUnconfirmed(ctx);
    refuse(ctx, Refusal.StoreUnavailable, 'no');
  },
  absent: considerAbsence,
  found: (ctx, { version, claim }) => {
    ctx.state.version = version;
    ctx.state.claim = claim;
    if (claim.attempt === ctx.state.unconfirmed?.attempt) {
      dispatch(ctx, claim);
      return;
    }
    declineUnconfirmed(ctx);
    considerClaim(ctx, claim);
  },
};

const handleRead = <C extends ClaimReadOutcome['code']>(
  ctx: Context,
  outcome: Extract<ClaimReadOutcome, { code: C }>,
): void => readHandlers[outcome.code](ctx, outcome);

const claimWritten = (ctx: Context, outcome: ClaimWriteOutcome): void => {
  const { state } = ctx;
  const { claim } = state;
  if (claim === undefined) return;
  if (outcome.code === 'ok') {
    state.version = outcome.version;
    dispatch(ctx, claim);
    return;
  }
  // After a lost answer a conflict may be with the lost write itself, so the claim is read in both cases.
  state.unconfirmed = claim;
  if (outcome.code !== 'failed') {
    read(ctx);
    return;
  }
  declineUnconfirmed(ctx);
  refuse(ctx, Refusal.StoreUnavailable, 'no');
};

const answerWritten = (ctx: Context, outcome: ClaimWriteOutcome): void => {
  const { state } = ctx;
  const again = outcome.code === 'failed' || outcome.code === 'unknown';
  if (again && state.writes < MAX_CLAIM_WRITES && state.claim !== undefined) {
    write(ctx, state.claim);
    return;
  }
  // Without a record, a repeat gets the answer that the sidecar keeps.
  enter(ctx, ClaimPhase.Done);
};

const record = (ctx: Context, claim: Claim, answer: Claim['answer']): void => {
  enter(ctx, ClaimPhase.Recording);
  write(ctx, { ...claim, state: ClaimStatus.Recorded, answer });
};

const attemptHandlers: {
  [C in ClaimedAttemptOutcome['code']]: (
    ctx: Context,
    claim: Claim,
    outcome: Extract<ClaimedAttemptOutcome, { code: C }>,
  ) => void;
} = {
  finished: (ctx, claim, { answer }) => record(ctx, claim, answer),
  'not-run': awaitSlot,
  unknown: (ctx) => refuse(ctx, Refusal.OutcomeUnknown, 'unknown'),
};

const handleAttempt = <C extends ClaimedAttemptOutcome['code']>(
  ctx: Context,
  claim: Claim,
  outcome: Extract<ClaimedAttemptOutcome, { code: C }>,
): void => attemptHandlers[outcome.code](ctx, claim, outcome);

const askHandlers: Record<ReportedAttemptState, (ctx: Context, claim: Claim) => void> = {
  running: (ctx) => refuse(ctx, Refusal.InProgress, 'unknown'),
  finished: fetchAnswer,
  barred: (ctx, claim) => {
    if (ctx.nowMs - claim.claimedAtMs < MAX_BARRABLE_CLAIM_AGE_MS) awaitSlot(ctx);
    else refuse(ctx, Refusal.OutcomeUnknown, 'unknown');
  },
  'unknown-outcome': (ctx) => refuse(ctx, Refusal.OutcomeUnknown, 'unknown'),
  unreachable: (ctx) => refuse(ctx, Refusal.OutcomeUnknown, 'unknown'),
};

const eventHandlers: {
  [K in ClaimEvent['kind']]: (ctx: Context, event: EventOf<K>) => void;
} = {
  request: read,
  'claim-read': (ctx, { outcome }) => {
    if (ctx.state.phase === ClaimPhase.Reading) handleRead(ctx, outcome);
  },
  'claim-written': (ctx, { outcome }) => {
    if (ctx.state.phase === ClaimPhase.Claiming) claimWritten(ctx, outcome);
    else if (ctx.state.phase === ClaimPhase.Recording) answerWritten(ctx, outcome);
  },
  'slot-granted': (ctx, { target, nowMs }) => {
    const { state } = ctx;
    if (state.phase !== ClaimPhase.Queued) {
      ctx.effects.push({ kind: 'decline-slot', target });
      return;
    }
    const { routerIncarnation, bodyDigest } = state;
    enter(ctx, ClaimPhase.Claiming);
    write(ctx, {
      ...target,
      routerIncarnation,
      bodyDigest,
      state: ClaimStatus.Claimed,
      claimedAtMs: nowMs,
      expiresAtMs: nowMs + CLAIM_TTL_MS,
    });
  },
  'attempt-ended': (ctx, { outcome }) => {
    const { phase, claim } = ctx.state;
    if (phase === ClaimPhase.Running && claim !== undefined) handleAttempt(ctx, claim, outcome);
  },
  'attempt-asked': (ctx, { outcome }) => {
    const { phase, claim } = ctx.state;
    if (phase === ClaimPhase.Barring && claim !== undefined) askHandlers[outcome](ctx, claim);
  },
  'answer-fetched': (ctx, { answer }) => {
    const { phase, claim } = ctx.state;
    if (phase !== ClaimPhase.Fetching || claim === undefined) return;
    if (answer === undefined) {
      const code = isBeyondAsking(ctx, claim) ? Refusal.OutcomeUnknown : Refusal.AnswerNotKept;
      refuse(ctx, code, 'unknown');
      return;
    }
    ctx.effects.push({ kind: 'answer', answer });
    record(ctx, claim, answer);
  },
  withdrawn: (ctx) => {
    const { phase, version, key, claim, routerIncarnation } = ctx.state;
    if (phase !== ClaimPhase.Queued) return;
    // Its own attempts were all barred; removing the claim spares the next request from asking.
    if (version !== undefined && claim?.routerIncarnation === routerIncarnation) {
      ctx.effects.push({ kind: 'store-remove', key, version });
    }
    enter(ctx, ClaimPhase.Done);
  },
};

const handle = <K extends ClaimEvent['kind']>(ctx: Context, event: EventOf<K>): void =>
  eventHandlers[event.kind](ctx, event);

/** State of a request that has just arrived; its first event is `request`. */
export const createClaimState = (request: {
  /** Key of the claim object, see `claimKey`. */
  key: string;
  bodyDigest: string;
  routerIncarnation: string;
}): ClaimState => ({ ...request, phase: ClaimPhase.Reading, writes: 0 });

/** Reducer of one request with an `Idempotency-Key`. */
export const claimReducer = (
  state: ClaimState,
  event: ClaimEvent,
): ReducerResult<ClaimState, ClaimEffect> => {
  const ctx: Context = { state, effects: [], nowMs: event.nowMs };
  handle(ctx, event);
  return { state, effects: ctx.effects };
};
