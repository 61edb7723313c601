/** Types of the emulated platform service. */
import type { Fault, FaultTable, PlannedFault } from '../common/types.js';
import type { ListenOptions } from '../common/http-server.js';

/** Faults of the platform service. */
export const PlatformFaultKind = {
  /** Calls fail with status 503 or a destroyed connection. */
  Outage: 'outage',
  /** Responses are delayed by `delayMs`. */
  Slow: 'slow',
  /** Writes take effect, but the connection is destroyed without a response. */
  LoseAnswers: 'lose-answers',
  /** Changes are not reported to watches. */
  MissedWatch: 'missed-watch',
} as const;
export type PlatformFaultKind = (typeof PlatformFaultKind)[keyof typeof PlatformFaultKind];
export type PlatformFault = Fault<PlatformFaultKind>;

/** Precondition of a write on the current version of the object. */
export type WriteCondition =
  { kind: 'none' } | { kind: 'absent' } | { kind: 'version'; version: number };

/** Journal entry of a write that took effect. */
export interface WriteEntry {
  kind: 'put' | 'delete';
  key: string;
  version: number;
  /** SHA-256 digest of the body, in hex; empty for a delete. */
  digest: string;
  condition: WriteCondition;
  /** Epoch milliseconds of the write. */
  atMs: number;
  /** Whether a fault suppressed the response. */
  answerLost: boolean;
}

/** An entry of the instance list. */
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
  /** Maximum number of writes per second; further writes get status 429. @default 300 */
  writesPerSecond?: number;
  /** Maximum number of reads per second; further reads get status 429. A watch counts as one read. @default 2000 */
  readsPerSecond?: number;
  /** Delay before instance list changes become visible, in milliseconds. @default 1000 */
  instanceLagMs?: number;
  /** Minimum number of changes retained for watches. @default 10000 */
  watchHistory?: number;
  /** Size of each model's weights, in bytes. @default 1048576 */
  weightBytes?: number;
  /** Total transfer rate of the weight store, in bytes per second. @default 8388608 */
  weightBytesPerSecond?: number;
  /** Instances listed at startup. @default [] */
  instances?: PlatformInstance[];
  /** Faults to start at given times after startup. @default [] */
  plan?: PlannedFault<PlatformFaultKind>[];
}

export interface PlatformStandin {
  port: number;
  url: string;
  faults: FaultTable<PlatformFaultKind>;
  /** Returns the writes that took effect, in order. */
  journal(): (WriteEntry & { seq: number })[];
  /** Returns the number of calls by kind; rejected calls also count as `limited` or `unavailable`. */
  stats(): Record<string, number>;
  /** Adds or replaces an instance; the change becomes visible after `instanceLagMs`. */
  putInstance(instance: PlatformInstance): void;
  /** Removes an instance; the change becomes visible after `instanceLagMs`. */
  deleteInstance(id: string): void;
  /** Returns the current state for the state dump. */
  state(): object;
  close(): Promise<void>;
}
