/** Types of claims: records in the object service that let a request with an `Idempotency-Key` run once in the fleet. */

/** State of a claim. */
export const ClaimStatus = {
  /** The attempt may run, may have run, or was never sent. */
  Claimed: 'claimed',
  /** The attempt ran and its answer is known. */
  Recorded: 'recorded',
} as const;
export type ClaimStatus = (typeof ClaimStatus)[keyof typeof ClaimStatus];

/** Where an attempt runs. */
export interface AttemptTarget {
  attempt: string;
  /** Backend server of the sidecar. */
  backend: string;
  /** Run of the sidecar's process; a later run cannot tell whether the attempt ran. */
  sidecarIncarnation: string;
  /** Base URL of the sidecar's attempts interface. */
  dataUrl: string;
}

/** Answer of a backend server as a claim keeps it. */
export interface RecordedResponse {
  status: number;
  headers: [name: string, value: string][];
  bodyBase64: string;
}

/** Content of `claims/{digest}`, where the digest is of the client account and the key. */
export interface Claim extends AttemptTarget {
  /** Incarnation of the router that holds the claim. */
  routerIncarnation: string;
  /** Digest of the request's method, path and body. */
  bodyDigest: string;
  state: ClaimStatus;
  /** Absent in a recorded claim when the answer was too large to keep. */
  answer?: RecordedResponse;
  /** Wall-clock times. */
  claimedAtMs: number;
  expiresAtMs: number;
}

/** Phase of one request with an `Idempotency-Key`. */
export const ClaimPhase = {
  /** Reads the claim before the request is queued, or after a write that did not settle it. */
  Reading: 'reading',
  /** Asks the sidecar of an earlier attempt what became of it, which bars it if it was never sent. */
  Barring: 'barring',
  /** Fetches the answer of an earlier attempt from its sidecar. */
  Fetching: 'fetching',
  /** Waits for a slot. */
  Queued: 'queued',
  /** Writes the claim of its own attempt. */
  Claiming: 'claiming',
  /** Its own attempt was dispatched. */
  Running: 'running',
  /** Writes the answer into the claim; the caller has it already. */
  Recording: 'recording',
  Done: 'done',
} as const;
export type ClaimPhase = (typeof ClaimPhase)[keyof typeof ClaimPhase];

/** One request with an `Idempotency-Key` at one router. */
export interface ClaimState {
  phase: ClaimPhase;
  /** Key of the claim in the object service. */
  key: string;
  bodyDigest: string;
  routerIncarnation: string;
  /** Version of the claim object that a write replaces; undefined when there is none. */
  version?: number;
  /** Claim as last read or written. */
  claim?: Claim;
  /** Set while the answer to a write of this claim was lost. */
  unconfirmed?: Claim;
  /** Writes made in the current phase. */
  writes: number;
}

/** How a write to the object service ended. */
export type ClaimWriteOutcome =
  | { code: 'ok'; version: number }
  | { code: 'conflict' }
  /** The write had no effect. */
  | { code: 'failed' }
  /** The answer was lost. */
  | { code: 'unknown' };

/** `nowMs` is wall-clock time, as claims are shared between routers. */
export type ClaimEvent =
  | { kind: 'request'; nowMs: number }
  | { kind: 'claim-read'; nowMs: number; outcome: ClaimReadOutcome }
  | { kind: 'claim-written'; nowMs: number; outcome: ClaimWriteOutcome }
  /** A slot for the request; the attempt id is new. */
  | { kind: 'slot-granted'; nowMs: number; target: AttemptTarget }
  | { kind: 'attempt-ended'; nowMs: number; outcome: ClaimedAttemptOutcome }
  | { kind: 'attempt-asked'; nowMs: number; outcome: ReportedAttemptState }
  | { kind: 'answer-fetched'; nowMs: number; answer?: RecordedResponse }
  /** The request's time in the queue is over, or its caller has left, before it was dispatched. */
  | { kind: 'withdrawn'; nowMs: number };

export type ClaimReadOutcome =
  { code: 'found'; version: number; claim: Claim } | { code: 'absent' } | { code: 'failed' };

export type ClaimedAttemptOutcome =
  /** The whole answer was relayed to the caller. Without `answer` it is too large to keep. */
  | { code: 'finished'; answer?: RecordedResponse }
  /** The attempt is barred and was not run. */
  | { code: 'not-run' }
  | { code: 'unknown' };

/** What a sidecar says of an attempt. */
export type ReportedAttemptState =
  'running' | 'finished' | 'barred' | 'unknown-outcome' | 'unreachable';

/** Why a request is refused. */
export const ClaimRefusal = {
  /** An earlier request with the key has not ended. */
  InProgress: 'in_progress',
  /** The key was used for another request. */
  KeyReused: 'idempotency_key_reused',
  /** The object service cannot be asked whether the key was used. */
  StoreUnavailable: 'claim_store_unavailable',
  /** It cannot be known whether an earlier attempt ran. */
  OutcomeUnknown: 'outcome_unknown',
  /** An earlier attempt ran; its answer is no longer, or was never, kept. */
  AnswerNotKept: 'answer_not_kept',
} as const;
export type ClaimRefusal = (typeof ClaimRefusal)[keyof typeof ClaimRefusal];

export type ClaimEffect =
  /** Each has one `claim-read` as its answer. */
  | { kind: 'store-read'; key: string }
  /** Conditional create; its answer is one `claim-written`. */
  | { kind: 'store-create'; key: string; claim: Claim }
  /** Conditional replacement of `version`; its answer is one `claim-written`. */
  | { kind: 'store-update'; key: string; version: number; claim: Claim }
  /** Conditional removal; its outcome does not matter. */
  | { kind: 'store-remove'; key: string; version: number }
  /** Queue the request; ends in `slot-granted` or `withdrawn`. */
  | { kind: 'await-slot' }
  /** The granted slot is not used. */
  | { kind: 'decline-slot'; target: AttemptTarget }
  /** Run the attempt and relay its answer; ends in one `attempt-ended`. */
  | { kind: 'dispatch'; target: AttemptTarget }
  /** Ask the sidecar for the outcome, which bars an unknown attempt; its answer is one `attempt-asked`. */
  | { kind: 'bar-attempt'; target: AttemptTarget }
  /** Fetch the kept answer from the sidecar; its answer is one `answer-fetched`. */
  | { kind: 'fetch-answer'; target: AttemptTarget }
  /** Give the caller an earlier attempt's answer. */
  | { kind: 'answer'; answer: RecordedResponse }
  /** `ran` is about the operation that the key names: `no` only when this request was certainly not run. */
  | { kind: 'refuse'; code: ClaimRefusal; ran: 'no' | 'unknown' };
