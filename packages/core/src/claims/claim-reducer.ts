/**
 * Reducer of one request with an `Idempotency-Key` at one router.
 *
 * The claim is read when the request arrives; without a claim the request is queued. When a slot is granted, a claim with the attempt and its
 * sidecar is created, and the attempt is dispatched only after that write is confirmed, so that a refusal as "not run" is always correct. The
 * response of the finished attempt is stored in the claim. A request that finds the claim of an unfinished attempt queries the sidecar of that
 * attempt. The sidecar bars an attempt that it never received. Only a barred attempt is replaced, by a write conditional on the version read.
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

/** Lifetime of a claim; far longer than the maximum duration of a request. */
export const CLAIM_TTL_MS = 24 * 60 * 60 * 1000;
/** Age below which a claim counts as in progress; querying its sidecar so early would bar an attempt that is about to be sent. */
export const CLAIM_IN_PROGRESS_GRACE_MS = 2_000;
/**
 * Maximum age of a claim whose attempt may be barred; for older claims only the response is fetched from the sidecar. The journal of the sidecar
 * drops ended attempts after `journalKeepMs` and could then bar an attempt that has run, so this value is well below that retention time.
 */
export const MAX_BARRABLE_CLAIM_AGE_MS = 60_000;
/** Maximum number of writes of one claim or of one response. */
export const MAX_CLAIM_WRITES = 3;

interface Context {
  state: ClaimState;
  effects: ClaimEffect[];
  nowMs: number;
}

type EventOf<K extends ClaimEvent['kind']> = Extract<ClaimEvent, { kind: K }>;

const getTarget = (claim: Claim): AttemptTarget => ({
  attempt: claim.attempt,
  backend: claim.backend,
  sidecarIncarnation: claim.sidecarIncarnation,
  dataUrl: claim.dataUrl,
});

const enterPhase = (ctx: Context, phase: ClaimPhase): void => {
  ctx.state.phase = phase;
  ctx.state.writes = 0;
};

const refuse = (ctx: Context, code: ClaimRefusal, ran: 'no' | 'unknown'): void => {
  enterPhase(ctx, ClaimPhase.Done);
  ctx.effects.push({ kind: 'refuse', code, ran });
};

const readClaim = (ctx: Context): void => {
  ctx.state.phase = ClaimPhase.Reading;
  ctx.effects.push({ kind: 'store-read', key: ctx.state.key });
};

const awaitSlot = (ctx: Context): void => {
  enterPhase(ctx, ClaimPhase.Queued);
  ctx.effects.push({ kind: 'await-slot' });
};

const writeClaim = (ctx: Context, claim: Claim): void => {
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
  // After a long pause of this process, the sidecar may have barred the attempt for a retry and dropped the journal entry since then.
  if (ctx.nowMs - claim.claimedAtMs >= MAX_BARRABLE_CLAIM_AGE_MS) {
    ctx.effects.push({ kind: 'decline-slot', target: getTarget(claim) });
    awaitSlot(ctx);
    return;
  }
  enterPhase(ctx, ClaimPhase.Running);
  ctx.effects.push({ kind: 'dispatch', target: getTarget(claim) });
};

const declineUnconfirmed = (ctx: Context): void => {
  const { unconfirmed } = ctx.state;
  if (unconfirmed === undefined) return;
  ctx.state.unconfirmed = undefined;
  ctx.effects.push({ kind: 'decline-slot', target: getTarget(unconfirmed) });
};

const replayRecordedResponse = (ctx: Context, claim: Claim): void => {
  if (claim.answer === undefined) {
    refuse(ctx, Refusal.AnswerNotKept, 'unknown');
    return;
  }
  enterPhase(ctx, ClaimPhase.Done);
  ctx.effects.push({ kind: 'answer', answer: claim.answer });
};

const isTooOldToBar = ({ nowMs }: Context, claim: Claim): boolean =>
  nowMs - claim.claimedAtMs > MAX_BARRABLE_CLAIM_AGE_MS;

const fetchResponse = (ctx: Context, claim: Claim): void => {
  enterPhase(ctx, ClaimPhase.Fetching);
  ctx.effects.push({ kind: 'fetch-answer', target: getTarget(claim) });
};

/** Handles a claim that does not belong to the current attempt of this request. */
const handleExistingClaim = (ctx: Context, claim: Claim): void => {
  if (claim.expiresAtMs <= ctx.nowMs) awaitSlot(ctx);
  else if (claim.bodyDigest !== ctx.state.bodyDigest) refuse(ctx, Refusal.KeyReused, 'no');
  else if (claim.state === ClaimStatus.Recorded) replayRecordedResponse(ctx, claim);
  else if (ctx.nowMs - claim.claimedAtMs < CLAIM_IN_PROGRESS_GRACE_MS) {
    refuse(ctx, Refusal.InProgress, 'unknown');
  } else if (isTooOldToBar(ctx, claim)) {
    fetchResponse(ctx, claim);
  } else {
    enterPhase(ctx, ClaimPhase.Barring);
    ctx.effects.push({ kind: 'bar-attempt', target: getTarget(claim) });
  }
};

/** Handles a missing claim: queues the request, or repeats the write whose response was lost. */
const handleAbsentClaim = (ctx: Context): void => {
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
    writeClaim(ctx, unconfirmed);
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
  absent: handleAbsentClaim,
  found: (ctx, { version, claim }) => {
    ctx.state.version = version;
    ctx.state.claim = claim;
    if (claim.attempt === ctx.state.unconfirmed?.attempt) {
      dispatch(ctx, claim);
      return;
    }
    declineUnconfirmed(ctx);
    handleExistingClaim(ctx, claim);
  },
};

const handleRead = <C extends ClaimReadOutcome['code']>(
  ctx: Context,
  outcome: Extract<ClaimReadOutcome, { code: C }>,
): void => readHandlers[outcome.code](ctx, outcome);

const handleClaimWrite = (ctx: Context, outcome: ClaimWriteOutcome): void => {
  const { state } = ctx;
  const { claim } = state;
  if (claim === undefined) return;
  if (outcome.code === 'ok') {
    state.version = outcome.version;
    dispatch(ctx, claim);
    return;
  }
  // A conflict may be with an earlier write of this claim whose response was lost, so the claim is read after both outcomes.
  state.unconfirmed = claim;
  if (outcome.code !== 'failed') {
    readClaim(ctx);
    return;
  }
  declineUnconfirmed(ctx);
  refuse(ctx, Refusal.StoreUnavailable, 'no');
};

const handleResponseWrite = (ctx: Context, outcome: ClaimWriteOutcome): void => {
  const { state } = ctx;
  const isRetryable = outcome.code === 'failed' || outcome.code === 'unknown';
  if (isRetryable && state.writes < MAX_CLAIM_WRITES && state.claim !== undefined) {
    writeClaim(ctx, state.claim);
    return;
  }
  // If the response could not be recorded, a retry gets it from the sidecar.
  enterPhase(ctx, ClaimPhase.Done);
};

const recordResponse = (ctx: Context, claim: Claim, answer: Claim['answer']): void => {
  enterPhase(ctx, ClaimPhase.Recording);
  writeClaim(ctx, { ...claim, state: ClaimStatus.Recorded, answer });
};

const attemptOutcomeHandlers: {
  [C in ClaimedAttemptOutcome['code']]: (
    ctx: Context,
    claim: Claim,
    outcome: Extract<ClaimedAttemptOutcome, { code: C }>,
  ) => void;
} = {
  finished: (ctx, claim, { answer }) => recordResponse(ctx, claim, answer),
  'not-run': awaitSlot,
  unknown: (ctx) => refuse(ctx, Refusal.OutcomeUnknown, 'unknown'),
};

const handleAttemptOutcome = <C extends ClaimedAttemptOutcome['code']>(
  ctx: Context,
  claim: Claim,
  outcome: Extract<ClaimedAttemptOutcome, { code: C }>,
): void => attemptOutcomeHandlers[outcome.code](ctx, claim, outcome);

const reportedStateHandlers: Record<ReportedAttemptState, (ctx: Context, claim: Claim) => void> = {
  running: (ctx) => refuse(ctx, Refusal.InProgress, 'unknown'),
  finished: fetchResponse,
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
  request: readClaim,
  'claim-read': (ctx, { outcome }) => {
    if (ctx.state.phase === ClaimPhase.Reading) handleRead(ctx, outcome);
  },
  'claim-written': (ctx, { outcome }) => {
    if (ctx.state.phase === ClaimPhase.Claiming) handleClaimWrite(ctx, outcome);
    else if (ctx.state.phase === ClaimPhase.Recording) handleResponseWrite(ctx, outcome);
  },
  'slot-granted': (ctx, { target, nowMs }) => {
    const { state } = ctx;
    if (state.phase !== ClaimPhase.Queued) {
      ctx.effects.push({ kind: 'decline-slot', target });
      return;
    }
    const { routerIncarnation, bodyDigest } = state;
    enterPhase(ctx, ClaimPhase.Claiming);
    writeClaim(ctx, {
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
    if (phase === ClaimPhase.Running && claim !== undefined)
      handleAttemptOutcome(ctx, claim, outcome);
  },
  'attempt-asked': (ctx, { outcome }) => {
    const { phase, claim } = ctx.state;
    if (phase === ClaimPhase.Barring && claim !== undefined)
      reportedStateHandlers[outcome](ctx, claim);
  },
  'answer-fetched': (ctx, { answer }) => {
    const { phase, claim } = ctx.state;
    if (phase !== ClaimPhase.Fetching || claim === undefined) return;
    if (answer === undefined) {
      const code = isTooOldToBar(ctx, claim) ? Refusal.OutcomeUnknown : Refusal.AnswerNotKept;
      refuse(ctx, code, 'unknown');
      return;
    }
    ctx.effects.push({ kind: 'answer', answer });
    recordResponse(ctx, claim, answer);
  },
  withdrawn: (ctx) => {
    const { phase, version, key, claim, routerIncarnation } = ctx.state;
    if (phase !== ClaimPhase.Queued) return;
    // All attempts of this request were barred; without the claim the next request needs no query to the sidecar.
    if (version !== undefined && claim?.routerIncarnation === routerIncarnation) {
      ctx.effects.push({ kind: 'store-remove', key, version });
    }
    enterPhase(ctx, ClaimPhase.Done);
  },
};

const handleEvent = <K extends ClaimEvent['kind']>(ctx: Context, event: EventOf<K>): void =>
  eventHandlers[event.kind](ctx, event);

/** Creates the state of a new request; its first event must be `request`. */
export const createClaimState = (request: {
  /** Key of the claim object, from `claimKey`. */
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
  handleEvent(ctx, event);
  return { state, effects: ctx.effects };
};
