/** Types of the sidecar's reducer: options, state, events, and effects. */
import type { Correction, GrantScheduler } from '../fairness/index.js';
import type { AttemptJournal, AttemptOutcome } from '../journal/index.js';
import type { DemandEntry, Distance, LinkMessage } from '../protocol/index.js';

/** Policy by which requests are dispatched to backend servers. */
export const DispatchPolicy = {
  /** Late binding: sidecars grant free slots in order of least virtual time. */
  Fair: 'fair',
  /** Routers push each request to a random sidecar, which serves first come, first served. Baseline for benchmarks. */
  Naive: 'naive',
} as const;
export type DispatchPolicy = (typeof DispatchPolicy)[keyof typeof DispatchPolicy];

/** Options of a sidecar. */
export interface SidecarOptions {
  backend: string;
  pool: string;
  /** Number of requests that the backend server runs concurrently. */
  slots: number;
  /**
   * Maximum number of staged requests sent to the backend server beyond its slots, so that no slot is idle between two requests.
   * @default 1
   */
  queueAhead: number;
  /** Estimation of the service granted between the routers' reports. @default 'scaled' */
  correction: Correction;
  /** Policy by which requests are dispatched. @default 'fair' */
  policy: DispatchPolicy;
  /** Time after which an unused grant expires, in milliseconds. @default 1000 */
  grantTtlMs: number;
  /** Time after which an attempt without a connected router is cancelled, in milliseconds. @default 3000 */
  orphanGraceMs: number;
  /** Time for which the journal keeps ended attempts, in milliseconds. @default 120000 */
  journalKeepMs: number;
}

/** Router linked to the sidecar. */
export interface LinkedRouter {
  link: string;
  router: string;
  incarnation: string;
  distance: Distance;
  /** Round-trip time of the link, in milliseconds. */
  rttMs: number;
  /** Whether the router accepts no new requests. */
  leaving: boolean;
  /** Demand of the waiting client accounts, by account id. */
  demand: Map<string, DemandEntry>;
  /** Number of credits last sent. */
  credits: number;
}

/** Slot granted to a router and not yet used. */
export interface GrantedSlot {
  grant: number;
  link: string;
  account: string;
  estimateMs: number;
  grantedAtMs: number;
  expiresAtMs: number;
}

/** Attempt that was admitted and has not ended. */
export interface ActiveAttempt {
  attempt: string;
  account: string;
  /** Incarnation of the router that dispatched the attempt. */
  incarnation: string;
  estimateMs: number;
  /** Time at which the attempt was sent to the backend server, in milliseconds; null while staged. */
  startedAtMs: number | null;
  /** Time at which the router's connection was lost, in milliseconds; null while connected. */
  orphanedAtMs: number | null;
}

/** State of the sidecar's reducer. */
export interface SidecarState {
  options: SidecarOptions;
  routers: Map<string, LinkedRouter>;
  grants: Map<number, GrantedSlot>;
  /** Order in which free slots are granted. */
  order: GrantScheduler;
  /** Ids of admitted attempts that wait for a slot, oldest first. */
  staged: string[];
  active: Map<string, ActiveAttempt>;
  /** Number of active attempts at the backend server. */
  running: number;
  journal: AttemptJournal;
  poolVirtualTimeMs: number;
  /** Moving average of the slot time, in milliseconds; 0 before the first attempt ends. */
  meanSlotMs: number;
  /** Moving average of the time from a grant to the arrival of its attempt, in milliseconds. */
  grantLatencyMs: number;
  /** Number of the next grant. */
  nextGrant: number;
  /** Whether the process is shutting down. */
  stopping: boolean;
  /** Time until which a stopping process refuses attempts in transit before it exits, in milliseconds. */
  lingerUntilMs: number;
  /** Whether the configuration takes the backend server out of service. */
  drained: boolean;
  /** Whether the attempts running at the backend server are known. */
  synced: boolean;
}

/** Reason for refusing an attempt that was not run. */
export const AttemptRefusalReason = {
  Barred: 'barred',
  Full: 'full',
  LateGrant: 'late-grant',
  Draining: 'draining',
  NotReady: 'not-ready',
  /** The backend server refused the connection or reported that it did not run the request. */
  BackendRefused: 'backend-refused',
  Cancelled: 'cancelled',
} as const;
export type AttemptRefusalReason = (typeof AttemptRefusalReason)[keyof typeof AttemptRefusalReason];

/** Attempt offered by a router. */
export interface AttemptOffer {
  attempt: string;
  incarnation: string;
  /** Number of the grant, `credit` if a credit is used, or `push` under the naive policy. */
  grant: number | 'credit' | 'push';
  account: string;
  estimateMs: number;
}

/** Events of the sidecar; `nowMs` is monotonic time in milliseconds. */
export type SidecarEvent =
  | {
      kind: 'link-opened';
      nowMs: number;
      link: string;
      router: string;
      incarnation: string;
      distance: Distance;
    }
  | { kind: 'link-closed'; nowMs: number; link: string }
  | { kind: 'message'; nowMs: number; link: string; message: LinkMessage }
  | { kind: 'attempt-offered'; nowMs: number; offer: AttemptOffer }
  | { kind: 'attempt-ended'; nowMs: number; attempt: string; ran: boolean }
  | { kind: 'attempt-orphaned'; nowMs: number; attempt: string }
  | { kind: 'attempt-resumed'; nowMs: number; attempt: string }
  | { kind: 'attempt-cancelled'; nowMs: number; attempt: string }
  | {
      kind: 'outcome-asked';
      nowMs: number;
      attempt: string;
      queryId: number;
      sameIncarnation: boolean;
    }
  | { kind: 'round-trips'; nowMs: number; roundTrips: { link: string; rttMs: number }[] }
  | {
      kind: 'configured';
      nowMs: number;
      pool: string;
      slots: number;
      fleetSlots: number;
      draining: boolean;
    }
  | { kind: 'backend-synced'; nowMs: number }
  | { kind: 'backend-lost'; nowMs: number }
  | { kind: 'stop'; nowMs: number }
  | { kind: 'tick'; nowMs: number };

/** Effects of the sidecar. */
export type SidecarEffect =
  | { kind: 'send'; link: string; message: LinkMessage }
  | { kind: 'run'; attempt: string }
  | { kind: 'refuse'; attempt: string; reason: AttemptRefusalReason }
  | { kind: 'cancel'; attempt: string }
  | { kind: 'tell-outcome'; queryId: number; outcome: AttemptOutcome }
  | { kind: 'forget-answer'; attempt: string }
  | { kind: 'stopped' };
