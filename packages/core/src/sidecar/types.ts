/** State, events and effects of the sidecar's reducer. */
import type { Correction, GrantScheduler } from '../fairness/index.js';
import type { AttemptJournal, AttemptOutcome } from '../journal/index.js';
import type { DemandEntry, Distance, LinkMessage } from '../protocol/index.js';

/** How work reaches backend servers. */
export const DispatchPolicy = {
  /** Late binding with grants by least virtual time. */
  Fair: 'fair',
  /** Routers push to any sidecar at random, first come first served. A baseline for measurements. */
  Naive: 'naive',
} as const;
export type DispatchPolicy = (typeof DispatchPolicy)[keyof typeof DispatchPolicy];

/** Fixed properties of one sidecar. */
export interface SidecarOptions {
  backend: string;
  pool: string;
  /** Requests the backend server runs at once. */
  slots: number;
  /**
   * Most of the staged requests that go to the backend server at once, so that no slot of it idles between two requests.
   * @default 1
   */
  queueAhead: number;
  /** How grants between the routers' reports are estimated. @default 'scaled' */
  correction: Correction;
  /** @default 'fair' */
  policy: DispatchPolicy;
  /** How long a router may sit on a grant, in milliseconds. @default 1000 */
  grantTtlMs: number;
  /** How long an attempt outlives its router's connection, in milliseconds. @default 3000 */
  orphanGraceMs: number;
  /** How long the journal keeps ended attempts, in milliseconds. @default 120000 */
  journalKeepMs: number;
}

/** A router as the sidecar sees it. */
export interface LinkedRouter {
  link: string;
  router: string;
  incarnation: string;
  distance: Distance;
  rttMs: number;
  leaving: boolean;
  /** Waiting client accounts, by account id. */
  demand: Map<string, DemandEntry>;
  /** Credits last sent. */
  credits: number;
}

/** A slot promised to a router. */
export interface GrantedSlot {
  grant: number;
  link: string;
  account: string;
  estimateMs: number;
  grantedAtMs: number;
  expiresAtMs: number;
}

/** An attempt between admission and end. */
export interface ActiveAttempt {
  attempt: string;
  account: string;
  /** Incarnation of the router that dispatched it. */
  incarnation: string;
  estimateMs: number;
  /** Start of its slot, or null while staged. */
  startedAtMs: number | null;
  /** Since when no router reads its answer, or null. */
  orphanedAtMs: number | null;
}

/** State of the sidecar's reducer. */
export interface SidecarState {
  options: SidecarOptions;
  routers: Map<string, LinkedRouter>;
  grants: Map<number, GrantedSlot>;
  /** Order in which free slots are granted. */
  order: GrantScheduler;
  /** Admitted attempts that wait for a slot, oldest first. */
  staged: string[];
  active: Map<string, ActiveAttempt>;
  /** Number of active attempts that hold a slot. */
  running: number;
  journal: AttemptJournal;
  poolVirtualTimeMs: number;
  /** Moving average of slot time, in milliseconds; 0 before the first attempt ends. */
  meanSlotMs: number;
  /** Moving average of the time from a grant to the arrival of its attempt, in milliseconds. */
  grantLatencyMs: number;
  nextGrant: number;
  /** The process is shutting down. */
  stopping: boolean;
  /** While stopping: the process answers until then, so that attempts on their way are refused rather than lost. */
  lingerUntilMs: number;
  /** The configuration takes the backend server out of service. */
  drained: boolean;
  /** False until it is known what still runs at the backend server. */
  synced: boolean;
}

/** Why an attempt was refused as not run. */
export const AttemptRefusalReason = {
  Barred: 'barred',
  Full: 'full',
  LateGrant: 'late-grant',
  Draining: 'draining',
  NotReady: 'not-ready',
  /** The backend server refused the connection or said so itself. */
  BackendRefused: 'backend-refused',
  Cancelled: 'cancelled',
} as const;
export type AttemptRefusalReason = (typeof AttemptRefusalReason)[keyof typeof AttemptRefusalReason];

/** An attempt that a router offers to run. */
export interface AttemptOffer {
  attempt: string;
  incarnation: string;
  /** Grant number; `credit` for a standing credit; `push` under the naive policy. */
  grant: number | 'credit' | 'push';
  account: string;
  estimateMs: number;
}

/** Events of the sidecar. `nowMs` is a monotonic clock. */
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
