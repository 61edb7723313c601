/** Types of the emulated model engine. */
import type { Fault, FaultTable, PlannedFault } from '../common/types.js';
import type { ListenOptions } from '../common/http-server.js';

/** Faults of the model engine. */
export const EngineFaultKind = {
  /** The response has the answer and `x-request-id` of another request. */
  CrossedAnswers: 'crossed-answers',
  /** The response starts after a delay of `delayMs`. */
  LateAnswer: 'late-answer',
  /** The connection is destroyed after `after` tokens; the run continues. */
  CutStream: 'cut-stream',
  /** The batch completes no step for `durationMs`. */
  Freeze: 'freeze',
  /** New requests are rejected with status 503. */
  Refuse: 'refuse',
  /** All runs, answers and cached blocks are lost and every connection is destroyed. */
  CrashLoseAll: 'crash-lose-all',
} as const;
export type EngineFaultKind = (typeof EngineFaultKind)[keyof typeof EngineFaultKind];
export type EngineFault = Fault<EngineFaultKind>;

/** Status of a run. */
export const RunOutcome = {
  Running: 'running',
  Finished: 'finished',
  Cancelled: 'cancelled',
  /** Finished, but a fault destroyed the connection of the original response. */
  Cut: 'cut',
  /** Ended by a crash. */
  Lost: 'lost',
} as const;
export type RunOutcome = (typeof RunOutcome)[keyof typeof RunOutcome];

/** Journal entry of a request that the engine accepted. */
export interface EngineRunEntry {
  requestId: string;
  /** Value of the request header `x-bench-request`; null if absent. */
  benchRequest: string | null;
  /** SHA-256 digest of the request body, in hex. */
  digest: string;
  /** Epoch milliseconds of arrival. */
  arrivedAtMs: number;
  /** Epoch milliseconds of admission to the batch; null while queued. */
  startedAtMs: number | null;
  /** Epoch milliseconds of the end; null while queued or running. */
  endedAtMs: number | null;
  outcome: RunOutcome;
  /** Number of tokens generated so far. */
  tokens: number;
  /** Number of prompt tokens found in the prefix cache. */
  cachedTokens: number;
}

/** Journal entry of an order. */
export interface OrderEntry {
  kind: 'load-model' | 'unload-model' | 'change-role';
  model: string | null;
  role: string | null;
  fencing: number;
  accepted: boolean;
  /** Epoch milliseconds of receipt. */
  atMs: number;
}

/** Step times and capacity limits of the batch. */
export interface BatchSettings {
  /** Constant part of the step time, in milliseconds. @default 12 */
  baseTokenMs: number;
  /** Additional step time per sequence in the batch, in milliseconds. @default 0.5 */
  perSequenceMs: number;
  /** Prefill time per uncached prompt token, in milliseconds. @default 0.1 */
  prefillTokenMs: number;
  /** Maximum number of sequences in the batch. @default 16 */
  maxBatch: number;
  /** Total KV memory, in tokens. @default 65536 */
  kvTokensTotal: number;
  /** Capacity of the prefix cache, in prompt blocks. @default 1024 */
  cacheBlocks: number;
  /** Number of tokens per prompt block. @default 64 */
  blockTokens: number;
}

export interface EngineOptions extends ListenOptions, Partial<BatchSettings> {
  /** Seed of fault probabilities and cache event loss. @default 1 */
  seed?: number;
  /** Models loaded at startup. @default ['standin-model'] */
  models?: string[];
  /** Factor by which simulated time is faster than real time. @default 1 */
  timeScale?: number;
  /** Number of tokens per SSE chunk. @default 1 */
  tokensPerChunk?: number;
  /** Sampling period and thus maximum age of load reports, in milliseconds. @default 200 */
  loadLagMs?: number;
  /** Delay before cache events become visible, in milliseconds. @default 200 */
  cacheEventLagMs?: number;
  /** Probability that a cache event is lost, 0 to 1. @default 0.02 */
  cacheEventLoss?: number;
  /** Time for which an ended answer can be resumed, in milliseconds. @default 30000 */
  resumeKeepMs?: number;
  /** Whether closing the connection cancels the request. @default false */
  cancelOnDisconnect?: boolean;
  /** Whether orders with an outdated fencing number are rejected. @default false */
  checksFencing?: boolean;
  /** Model load time without fetching weights, in milliseconds. @default 1000 */
  modelLoadMs?: number;
  /** Base URL of the platform service that serves model weights. @default none */
  weightStoreUrl?: string;
  /** Faults to start at given times after startup. @default [] */
  plan?: PlannedFault<EngineFaultKind>[];
}

export interface EngineStandin {
  port: number;
  url: string;
  faults: FaultTable<EngineFaultKind>;
  /** Returns all runs so far, in order of arrival. */
  journal(): (EngineRunEntry & { seq: number })[];
  /** Returns all orders so far, in order of arrival. */
  orders(): (OrderEntry & { seq: number })[];
  /** Returns the current state for the state dump. */
  state(): object;
  close(): Promise<void>;
}
