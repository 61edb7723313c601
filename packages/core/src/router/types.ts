/** Types of the router's reducer: options, state, events, and effects. */
import { ClaimRefusal } from '../claims/index.js';
import type {
  ClaimEffect,
  ClaimReadOutcome,
  ClaimState,
  ClaimWriteOutcome,
  ReportedAttemptState,
  RecordedResponse,
} from '../claims/index.js';
import type { CostEstimator, Ledger } from '../fairness/index.js';
import type { AttemptOutcome } from '../journal/index.js';
import type { Distance, LinkMessage } from '../protocol/index.js';
import type { DispatchPolicy } from '../sidecar/index.js';

/** Options of a router. */
export interface RouterOptions {
  /** Random id of this run of the process. */
  incarnation: string;
  /** Policy by which requests are dispatched. @default 'fair' */
  policy: DispatchPolicy;
  /** Interval of demand refreshes to each sidecar, in milliseconds. @default 1000 */
  demandPeriodMs: number;
  /** Maximum time for which the outcome of a lost attempt is queried, in milliseconds. @default 5000 */
  outcomeTimeoutMs: number;
  /** Maximum number of attempts per request that may have run. @default 3 */
  maxTries: number;
  /** Maximum lag of an account behind its pool's virtual time, in milliseconds of slot time per share. @default 60000 */
  lagBoundMs: number;
}

/** Lifecycle state of a request. */
export const RequestState = {
  /** The claim is being read, or an earlier attempt with the same `Idempotency-Key` is being queried. */
  Checking: 'checking',
  /** The request waits in the queue for a slot. */
  Waiting: 'waiting',
  /** A slot is reserved while the claim is written. */
  Claiming: 'claiming',
  /** An attempt was sent to a sidecar. */
  Dispatched: 'dispatched',
  /** The connection of the attempt was lost and its outcome is queried from the sidecar's journal. */
  QueryingOutcome: 'asking',
} as const;
export type RequestState = (typeof RequestState)[keyof typeof RequestState];

/** Properties of a caller's request on arrival. */
export interface IncomingRequest {
  /** Request id, unique within the router incarnation. */
  request: string;
  account: string;
  service: string;
  pool: string;
  /** Configured share of the account. */
  share: number;
  /** Whether the request may run more than once. */
  idempotent: boolean;
  /** Hints for the cost estimate. */
  promptTokens?: number;
  maxTokens?: number;
  bodyBytes?: number;
  /** Maximum time in the queue, in milliseconds. */
  queueTimeoutMs: number;
  /** Maximum number of waiting requests of the account in the pool. */
  maxQueued: number;
  /** Present if the caller sent an `Idempotency-Key`. */
  claim?: IdempotencyKeyInfo;
}

/** Properties of a request's `Idempotency-Key` on arrival. */
export interface IdempotencyKeyInfo {
  /** Key of the claim object, see `claimKey`. */
  key: string;
  /** Digest of the request's service, method, path, and body. */
  bodyDigest: string;
  /** Wall-clock time of the arrival, in milliseconds. */
  arrivedWallMs: number;
}

/** State of the `Idempotency-Key` of a request. */
export interface IdempotencyKeyState {
  claim: ClaimState;
  /** The caller has disconnected; a dispatched attempt continues so that a repeated request gets its response. */
  callerGone: boolean;
  /** Whether the request has been queued before. */
  queuedBefore: boolean;
}

/** Request held by the router. */
export interface RouterRequest extends IncomingRequest {
  state: RequestState;
  arrivedAtMs: number;
  /** Estimated slot time, in milliseconds. */
  estimateMs: number;
  /** Id of the current attempt, or null. */
  attempt: string | null;
  /** Number of attempts that may have run. */
  tries: number;
  /** State of the `Idempotency-Key`, or null if the caller sent none. */
  keyed: IdempotencyKeyState | null;
  /** Random number in [0, 1) that selects the sidecar under the naive policy. */
  seed: number;
  /** The caller has disconnected; the request is removed when its cancelled attempt ends. */
  gone: boolean;
}

/** Permit to dispatch an attempt: the number of a grant, a credit, or an unconditional push under the naive policy. */
export type SlotGrant = number | 'credit' | 'push';

/** Attempt that was dispatched, or will be dispatched once the claim of its request is written. */
export interface RouterAttempt {
  attempt: string;
  request: string;
  link: string;
  dataUrl: string;
  sidecarIncarnation: string;
  dispatchedAtMs: number;
  /** Amount charged to the account so far, in milliseconds of slot time. */
  chargedMs: number;
  /** Permit with which the attempt is dispatched. */
  grant: SlotGrant;
  /** Epoch of the credits message whose credit was used, or null. */
  creditEpoch: number | null;
  /** Number of response bytes relayed to the caller. */
  relayedBytes: number;
  /** Whether the response head was relayed to the caller. */
  headRelayed: boolean;
  /** Time until which the outcome is queried, in milliseconds. */
  askUntilMs: number;
  /** Time of the next outcome query, in milliseconds; 0 if none is scheduled. */
  askAgainAtMs: number;
}

/** Demand of one account as last reported to a sidecar, updated by the sidecar's own grants since. */
export interface SentDemand {
  waiting: number;
  virtualTimeMs: number;
}

/** Sidecar linked to the router. */
export interface LinkedSidecar {
  link: string;
  backend: string;
  pool: string;
  dataUrl: string;
  incarnation: string;
  distance: Distance;
  /** Whether the sidecar accepts no new work. */
  leaving: boolean;
  /** Number of credits in the last credits message. */
  credits: number;
  /** Number of those credits used by unfinished attempts. */
  creditsUsed: number;
  /** Number of credits messages received. */
  creditEpoch: number;
  /** Demand last reported, by account. */
  sent: Map<string, SentDemand>;
  /** Time of the last demand message, in milliseconds. */
  lastDemandMs: number;
}

/** Waiting requests and outstanding charges of one pool. */
export interface PoolQueue {
  /** Ids of the waiting requests by account, oldest first. */
  accounts: Map<string, string[]>;
  /** Charges for unfinished attempts by account, in milliseconds of slot time. */
  outstandingMs: Map<string, number>;
  /** Samples of the pool's virtual time, oldest first. */
  pastTimes: PoolTimeSample[];
}

/** Sample of a pool's virtual time. */
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
  /** Sequence number of the next attempt. */
  nextAttempt: number;
  /** Round-robin position of the next sidecar that is notified of new demand. */
  nextFanOut: number;
  /** Number of retries currently allowed; each arriving request adds a fraction. */
  retryBudget: number;
  /** Difference between wall-clock time and `nowMs` at the last event that had both, in milliseconds. */
  wallOffsetMs: number;
  /** Whether the router is shutting down and refuses new requests. */
  stopping: boolean;
}

/** Reason for refusing a request, sent as `code` of the JSON response. */
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

/** Outcome of a lost attempt; `unreachable` if the sidecar did not respond. */
export type LostAttemptOutcome = AttemptOutcome | 'unreachable';

/** Fields shared by the results of claim effects. */
interface ClaimResultBase {
  nowMs: number;
  /** Wall-clock time, in milliseconds. */
  wallMs: number;
  request: string;
}

/** Results of claim effects. */
export type ClaimResultEvent =
  | ({ kind: 'claim-read'; outcome: ClaimReadOutcome } & ClaimResultBase)
  | ({ kind: 'claim-written'; outcome: ClaimWriteOutcome } & ClaimResultBase)
  | ({ kind: 'attempt-asked'; outcome: ReportedAttemptState } & ClaimResultBase)
  | ({ kind: 'answer-fetched'; answer?: RecordedResponse } & ClaimResultBase);

/** Events of the router; `nowMs` is monotonic time in milliseconds. */
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
      /** Response to a request with an `Idempotency-Key`; absent if it is too large to record. */
      answer?: RecordedResponse;
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

/** Claim effects that the router forwards to its host process, with the id of the request. */
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
  /** Releases a finished request with an `Idempotency-Key`; its caller may have disconnected earlier. */
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
