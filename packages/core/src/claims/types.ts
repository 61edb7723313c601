/** Types of claims: objects in the object service that ensure a request with an `Idempotency-Key` runs at most once in the fleet. */

/** Stored state of a claim. */
export const ClaimStatus = {
  /** The attempt may be unsent, running or finished. */
  Claimed: 'claimed',
  /** The attempt finished with a known response. */
  Recorded: 'recorded',
} as const;
export type ClaimStatus = (typeof ClaimStatus)[keyof typeof ClaimStatus];

/** An attempt and the sidecar that it is sent to. */
export interface AttemptTarget {
  attempt: string;
  /** Backend server of the sidecar. */
  backend: string;
  /** Incarnation of the sidecar process; a later incarnation cannot determine whether the attempt ran. */
  sidecarIncarnation: string;
  /** Base URL of the attempts interface of the sidecar. */
  dataUrl: string;
}

/** Response of a backend server as stored in a claim. */
export interface RecordedResponse {
  status: number;
  headers: [name: string, value: string][];
  bodyBase64: string;
}

/** Content of `claims/{digest}`, where the digest covers the client account and the key. */
export interface Claim extends AttemptTarget {
  /** Incarnation of the router that holds the claim. */
  routerIncarnation: string;
  /** Digest of the request's method, path and body. */
  bodyDigest: string;
  state: ClaimStatus;
  /** Undefined in a recorded claim if the response was too large to store. */
  answer?: RecordedResponse;
  /** Wall-clock time, as is `expiresAtMs`. */
  claimedAtMs: number;
  expiresAtMs: number;
}

/** Phase of one request with an `Idempotency-Key`. */
export const ClaimPhase = {
  /** Reading the claim, before the request is queued or after a write with a conflict or an unknown outcome. */
  Reading: 'reading',
  /** Querying the sidecar for the outcome of an earlier attempt; the sidecar bars the attempt if it never received it. */
  Barring: 'barring',
  /** Fetching the response of an earlier attempt from its sidecar. */
  Fetching: 'fetching',
  /** Waiting for a slot. */
  Queued: 'queued',
  /** Writing the claim of its own attempt. */
  Claiming: 'claiming',
  /** Waiting for its dispatched attempt to end. */
  Running: 'running',
  /** Writing the response into the claim; the caller has already received it. */
  Recording: 'recording',
  Done: 'done',
} as const;
export type ClaimPhase = (typeof ClaimPhase)[keyof typeof ClaimPhase];

/** State of one request with an `Idempotency-Key` at one router. */
export interface ClaimState {
  phase: ClaimPhase;
  /** Key of the claim in the object service. */
  key: string;
  bodyDigest: string;
  routerIncarnation: string;
  /** Version of the claim object that the next write replaces; undefined if the object does not exist. */
  version?: number;
  /** Claim last read or written. */
  claim?: Claim;
  /** Claim whose write ended in a conflict or with an unknown outcome, until it is read back. */
  unconfirmed?: Claim;
  /** Number of writes in the current phase. */
  writes: number;
}

/** Result of a write to the object service. */
export type ClaimWriteOutcome =
  | { code: 'ok'; version: number }
  | { code: 'conflict' }
  /** The write had no effect. */
  | { code: 'failed' }
  /** The response was lost; the write may have taken effect. */
  | { code: 'unknown' };

/** Input events; `nowMs` is wall-clock time because claims are shared between routers. */
export type ClaimEvent =
  | { kind: 'request'; nowMs: number }
  | { kind: 'claim-read'; nowMs: number; outcome: ClaimReadOutcome }
  | { kind: 'claim-written'; nowMs: number; outcome: ClaimWriteOutcome }
  /** A slot was granted to the request; the attempt id is new. */
  | { kind: 'slot-granted'; nowMs: number; target: AttemptTarget }
  | { kind: 'attempt-ended'; nowMs: number; outcome: ClaimedAttemptOutcome }
  | { kind: 'attempt-asked'; nowMs: number; outcome: ReportedAttemptState }
  | { kind: 'answer-fetched'; nowMs: number; answer?: RecordedResponse }
  /** The request timed out in the queue or its caller disconnected before it was dispatched. */
  | { kind: 'withdrawn'; nowMs: number };

export type ClaimReadOutcome =
  { code: 'found'; version: number; claim: Claim } | { code: 'absent' } | { code: 'failed' };

export type ClaimedAttemptOutcome =
  /** The whole response was relayed to the caller; `answer` is undefined if it was too large to store. */
  | { code: 'finished'; answer?: RecordedResponse }
  /** The attempt did not run and is barred. */
  | { code: 'not-run' }
  | { code: 'unknown' };

/** State of an attempt as reported by its sidecar, or `unreachable`. */
export type ReportedAttemptState =
  'running' | 'finished' | 'barred' | 'unknown-outcome' | 'unreachable';

/** Reason for refusing a request. */
export const ClaimRefusal = {
  /** An earlier request with the same key is still in progress. */
  InProgress: 'in_progress',
  /** The key was used for a different request. */
  KeyReused: 'idempotency_key_reused',
  /** The object service is unavailable, so earlier use of the key cannot be checked. */
  StoreUnavailable: 'claim_store_unavailable',
  /** It cannot be determined whether an earlier attempt ran. */
  OutcomeUnknown: 'outcome_unknown',
  /** An earlier attempt ran, but its response is not stored or has been dropped. */
  AnswerNotKept: 'answer_not_kept',
} as const;
export type ClaimRefusal = (typeof ClaimRefusal)[keyof typeof ClaimRefusal];

export type ClaimEffect =
  /** Reads the claim; the result is one `claim-read` event. */
  | { kind: 'store-read'; key: string }
  /** Creates the claim if it does not exist; the result is one `claim-written` event. */
  | { kind: 'store-create'; key: string; claim: Claim }
  /** Replaces the claim if it has `version`; the result is one `claim-written` event. */
  | { kind: 'store-update'; key: string; version: number; claim: Claim }
  /** Removes the claim if it has `version`; the result is ignored. */
  | { kind: 'store-remove'; key: string; version: number }
  /** Queues the request until a `slot-granted` or `withdrawn` event. */
  | { kind: 'await-slot' }
  /** Returns the granted slot unused. */
  | { kind: 'decline-slot'; target: AttemptTarget }
  /** Runs the attempt and relays its response; the result is one `attempt-ended` event. */
  | { kind: 'dispatch'; target: AttemptTarget }
  /** Queries the sidecar for the outcome, which bars an unknown attempt; the result is one `attempt-asked` event. */
  | { kind: 'bar-attempt'; target: AttemptTarget }
  /** Fetches the stored response from the sidecar; the result is one `answer-fetched` event. */
  | { kind: 'fetch-answer'; target: AttemptTarget }
  /** Sends the response of an earlier attempt to the caller. */
  | { kind: 'answer'; answer: RecordedResponse }
  /** Refuses the request; `ran` is `no` only if this request certainly did not run. */
  | { kind: 'refuse'; code: ClaimRefusal; ran: 'no' | 'unknown' };
