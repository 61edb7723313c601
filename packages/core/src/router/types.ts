/** State, events and effects of the router's reducer. */
import { ClaimRefusal } from '../claims/index.js';
import type {
  ClaimEffect,
  ClaimReadOutcome,
  ClaimState,
  ClaimWriteOutcome,
  ClaimedAttemptState,
  RecordedAnswer,
} from '../claims/index.js';
import type { CostEstimator, Ledger } from '../fairness/index.js';
import type { AttemptOutcome } from '../journal/index.js';
import type { Distance, LinkMessage } from '../protocol/index.js';
import type { DispatchPolicy } from '../sidecar/index.js';

/** Fixed properties of one router. */
export interface RouterOptions {
  incarnation: string;
  /** @default 'fair' */
  policy: DispatchPolicy;
  /** Period of demand refreshes to each sidecar, in milliseconds. @default 1000 */
  demandPeriodMs: number;
  /** How long the router asks for the outcome of a lost attempt, in milliseconds. @default 5000 */
  outcomeTimeoutMs: number;
  /** Attempts that may have run, per request, before the router gives up. @default 3 */
  maxTries: number;
  /** No account lags its pool's virtual time by more than this, in milliseconds of slot time per share. @default 60000 */
  lagBoundMs: number;
}

/** Where a request stands. */
export const RequestState = {
  /** Its claim is read, or an earlier attempt with its idempotency key is asked about. */
  Checking: 'checking',
  Waiting: 'waiting',
  /** A slot is held for it while its claim is written. */
  Claiming: 'claiming',
  /** An attempt is on its way or running. */
  Dispatched: 'dispatched',
  /** The attempt's connection broke; the router asks the sidecar's journal. */
  QueryingOutcome: 'asking',
} as const;
export type RequestState = (typeof RequestState)[keyof typeof RequestState];

/** What the router knows of a caller's request on arrival. */
export interface IncomingRequest {
  /** Unique in this router incarnation. */
  request: string;
  account: string;
  service: string;
  pool: string;
  /** Share of the account. */
  share: number;
  /** Whether it may run more than once. */
  idempotent: boolean;
  /** Hints for the cost. */
  promptTokens?: number;
  maxTokens?: number;
  bodyBytes?: number;
  /** Longest wait in the queue, in milliseconds. */
  queueTimeoutMs: number;
  /** Requests of the account that may wait in this pool. */
  maxQueued: number;
  /** Set when the caller sent an `Idempotency-Key`. */
  claim?: IdempotencyKeyInfo;
}

/** What the router knows of a request's `Idempotency-Key` on arrival. */
export interface IdempotencyKeyInfo {
  /** Key of the claim object, see `claimKey`. */
  key: string;
  /** Digest of the request's service, method, path and body. */
  bodyDigest: string;
  /** Wall-clock time of the arrival, in milliseconds. */
  arrivedWallMs: number;
}

/** What the router keeps of a request with an `Idempotency-Key`. */
export interface IdempotencyKeyState {
  claim: ClaimState;
  /** The caller has left; what was dispatched runs to its end, for a repeat to find its answer. */
  callerGone: boolean;
  queuedBefore: boolean;
}

/** A request inside the router. */
export interface RouterRequest extends IncomingRequest {
  state: RequestState;
  arrivedAtMs: number;
  estimateMs: number;
  /** Current attempt, or null while waiting for the first. */
  attempt: string | null;
  /** Attempts that may have run. */
  tries: number;
  /** Null without an `Idempotency-Key`. */
  keyed: IdempotencyKeyState | null;
  /** Random number in [0, 1) of its arrival. */
  seed: number;
  /** The caller has left; the end of the cancelled attempt ends the request. */
  gone: boolean;
}

/** A sidecar's grant by its number, a standing credit, or nothing under the naive policy. */
export type SlotGrant = number | 'credit' | 'push';

/** An attempt that the router dispatched, or is about to when its request's claim is written. */
export interface RouterAttempt {
  attempt: string;
  request: string;
  link: string;
  dataUrl: string;
  sidecarIncarnation: string;
  dispatchedAtMs: number;
  /** What the account has been charged for it so far, in milliseconds of slot time. */
  chargedMs: number;
  /** What it runs on. */
  grant: SlotGrant;
  /** Whether a standing credit paid for it, and which credits message it belongs to. */
  creditEpoch: number | null;
  /** Bytes of the answer that the caller has got. */
  relayedBytes: number;
  /** Whether the answer's head has reached the caller. */
  headRelayed: boolean;
  /** While asking: when to stop and when to ask next. */
  askUntilMs: number;
  askAgainAtMs: number;
}

/** What a sidecar was last told of one account, changed by its own grants since. */
export interface SentDemand {
  waiting: number;
  virtualTimeMs: number;
}

/** A sidecar as the router sees it. */
export interface LinkedSidecar {
  link: string;
  backend: string;
  pool: string;
  dataUrl: string;
  incarnation: string;
  distance: Distance;
  leaving: boolean;
  credits: number;
  creditsUsed: number;
  creditEpoch: number;
  sent: Map<string, SentDemand>;
  lastDemandMs: number;
}

/** Requests of one pool that wait, by account, oldest first. */
export interface PoolQueue {
  accounts: Map<string, string[]>;
  /** Charged for attempts that have not ended, by account, in milliseconds of slot time. */
  outstandingMs: Map<string, number>;
  /** Samples of the pool's virtual time, oldest first. */
  pastTimes: PoolTimeSample[];
}

/** The virtual time of a pool at an earlier time. */
export interface PoolTimeSample {
  atMs: number;
  virtualTimeMs: number;
}

/** State of the router's reducer. */
export interface RouterState {
  options: RouterOptions;
  sidecars: Map<string, LinkedSidecar>;
  pools: Map<string, PoolQueue>;
  requests: Map<string, RouterRequest>;
  attempts: Map<string, RouterAttempt>;
  ledger: Ledger;
  estimator: CostEstimator;
  nextAttempt: number;
  /** Turn of the sidecars that are told first of new demand. */
  nextFanOut: number;
  /** Retries that the router may still make; grows with requests. */
  retryBudget: number;
  /** What to add to `nowMs` for wall-clock time, as last learned from an event. */
  wallOffsetMs: number;
  stopping: boolean;
}

/** Why a request was refused; also the `code` of the JSON answer. */
export const RefusalCode = {
  QueueFull: 'queue_full',
  QueueTimeout: 'queue_timeout',
  ShuttingDown: 'shutting_down',
  RetriesExhausted: 'retries_exhausted',
  OutcomeUnknown: ClaimRefusal.OutcomeUnknown,
  InProgress: ClaimRefusal.InProgress,
  KeyReused: ClaimRefusal.KeyReused,
  ClaimStoreUnavailable: ClaimRefusal.StoreUnavailable,
  AnswerNotKept: ClaimRefusal.AnswerNotKept,
} as const;
export type RefusalCode = (typeof RefusalCode)[keyof typeof RefusalCode];

/** What the router learned about a lost attempt; `unreachable` when the sidecar did not answer. */
export type LostAttemptOutcome = AttemptOutcome | 'unreachable';

interface ClaimAnswerTimes {
  nowMs: number;
  /** Wall-clock time, in milliseconds. */
  wallMs: number;
  request: string;
}

/** Answers to the effects of claims. */
export type ClaimResultEvent =
  | ({ kind: 'claim-read'; outcome: ClaimReadOutcome } & ClaimAnswerTimes)
  | ({ kind: 'claim-written'; outcome: ClaimWriteOutcome } & ClaimAnswerTimes)
  | ({ kind: 'attempt-asked'; outcome: ClaimedAttemptState } & ClaimAnswerTimes)
  | ({ kind: 'answer-fetched'; answer?: RecordedAnswer } & ClaimAnswerTimes);

/** Events of the router. `nowMs` is a monotonic clock. */
export type RouterEvent =
  | ClaimResultEvent
  | { kind: 'request-arrived'; nowMs: number; info: IncomingRequest; seed: number }
  | { kind: 'request-gone'; nowMs: number; request: string }
  | {
      kind: 'sidecar-linked';
      nowMs: number;
      link: string;
      backend: string;
      pool: string;
      dataUrl: string;
      incarnation: string;
      distance: Distance;
    }
  | { kind: 'sidecar-unlinked'; nowMs: number; link: string }
  | { kind: 'message'; nowMs: number; link: string; message: LinkMessage }
  | { kind: 'attempt-refused'; nowMs: number; attempt: string; reason: string }
  | {
      kind: 'attempt-ended';
      nowMs: number;
      attempt: string;
      slotMs: number;
      /** The answer of a request with an `Idempotency-Key`, unless it is too large to record. */
      answer?: RecordedAnswer;
    }
  | {
      kind: 'attempt-lost';
      nowMs: number;
      attempt: string;
      relayedBytes: number;
      headRelayed: boolean;
    }
  | { kind: 'outcome-learned'; nowMs: number; attempt: string; outcome: LostAttemptOutcome }
  | { kind: 'stop'; nowMs: number }
  | { kind: 'tick'; nowMs: number };

/** Effects of claims that the router passes on, each about one request. */
export type ForwardedClaimEffect = Extract<
  ClaimEffect,
  {
    kind:
      | 'store-read'
      | 'store-create'
      | 'store-update'
      | 'store-remove'
      | 'bar-attempt'
      | 'fetch-answer'
      | 'answer';
  }
> & { request: string };

/** Effects of the router. */
export type RouterEffect =
  | ForwardedClaimEffect
  /** The request with an `Idempotency-Key` is over; its caller may have left long ago. */
  | { kind: 'forget'; request: string }
  | { kind: 'send'; link: string; message: LinkMessage }
  | {
      kind: 'dispatch';
      request: string;
      attempt: string;
      dataUrl: string;
      backend: string;
      sidecarIncarnation: string;
      grant: SlotGrant;
      estimateMs: number;
    }
  | {
      kind: 'refuse';
      request: string;
      code: RefusalCode;
      ran: 'no' | 'unknown';
      retryAfterMs: number | null;
    }
  | { kind: 'cancel'; attempt: string; dataUrl: string }
  | { kind: 'ask-outcome'; attempt: string; dataUrl: string; sidecarIncarnation: string }
  | { kind: 'resume'; request: string; attempt: string; dataUrl: string; offset: number }
  | { kind: 'stopped' };
