/** Types of the emulated platform service. */
import type { Fault, FaultTable, PlannedFault } from '../common/types.js';
import type { ListenOptions } from '../common/http-server.js';

/** Faults of the platform service. */
export const PlatformFaultKind = {
  /** Calls get 503, or their connection is destroyed. */
  Outage: 'outage',
  /** Calls are answered `delayMs` late. */
  Slow: 'slow',
  /** Writes take effect, then the connection is destroyed without an answer. */
  LoseAnswers: 'lose-answers',
  /** Changes are left out of what watches hear. */
  MissedWatch: 'missed-watch',
} as const;
export type PlatformFaultKind = (typeof PlatformFaultKind)[keyof typeof PlatformFaultKind];
export type PlatformFault = Fault<PlatformFaultKind>;

/** What a write asks of the object's current version. */
export type WriteCondition =
  { kind: 'none' } | { kind: 'absent' } | { kind: 'version'; version: number };

/** A write that took effect. */
export interface WriteEntry {
  kind: 'put' | 'delete';
  key: string;
  version: number;
  /** SHA-256 of the body, hex; empty for a delete. */
  digest: string;
  condition: WriteCondition;
  /** Epoch milliseconds. */
  atMs: number;
  /** Whether the answer was withheld by a fault. */
  answerLost: boolean;
}

/** An instance on the platform's list. */
export interface PlatformInstance {
  id: string;
  role: 'router' | 'sidecar';
  zone: string;
  region: string;
  state: 'live' | 'leaving';
  /** `host:port` of the link listener. */
  address: string;
}

export interface PlatformOptions extends ListenOptions {
  /** Seed of fault probabilities. @default 1 */
  seed?: number;
  /** Writes per second before 429. @default 300 */
  writesPerSecond?: number;
  /** Reads per second before 429; a watch counts once. @default 2000 */
  readsPerSecond?: number;
  /** How late the instance list is, in milliseconds. @default 1000 */
  instanceLagMs?: number;
  /** Changes that watches can look back. @default 10000 */
  watchHistory?: number;
  /** Size of each model's weights, in bytes. @default 1048576 */
  weightBytes?: number;
  /** Total rate of the weight store. @default 8388608 */
  weightBytesPerSecond?: number;
  /** Instances listed from the start. @default [] */
  instances?: PlatformInstance[];
  /** Faults by time since the start. @default [] */
  plan?: PlannedFault<PlatformFaultKind>[];
}

export interface PlatformStandin {
  port: number;
  url: string;
  faults: FaultTable<PlatformFaultKind>;
  /** Writes that took effect, in order. */
  journal(): (WriteEntry & { seq: number })[];
  /** Calls so far by kind; refused ones under `limited` and `unavailable`. */
  stats(): Record<string, number>;
  /** Adds or changes an instance; the list shows it after the lag. */
  putInstance(instance: PlatformInstance): void;
  /** Removes an instance; the list shows it after the lag. */
  deleteInstance(id: string): void;
  /** What the stand-in holds now, for a dump. */
  state(): object;
  close(): Promise<void>;
}
