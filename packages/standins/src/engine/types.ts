/** Types of the emulated model engine. */
import type { Fault, FaultTable, PlannedFault } from '../common/types.js';
import type { ListenOptions } from '../common/http-server.js';

/** Faults of the model engine. */
export const EngineFaultKind = {
  /** An answer is that of another request, with the other's `x-request-id`. */
  CrossedAnswers: 'crossed-answers',
  /** An answer starts `delayMs` late. */
  LateAnswer: 'late-answer',
  /** The connection is destroyed after `after` tokens; the engine goes on. */
  CutStream: 'cut-stream',
  /** The batch stands still for `durationMs`. */
  Freeze: 'freeze',
  /** New requests get 503 and don't run. */
  Refuse: 'refuse',
  /** Everything in memory is lost and every connection destroyed. */
  CrashLoseAll: 'crash-lose-all',
} as const;
export type EngineFaultKind = (typeof EngineFaultKind)[keyof typeof EngineFaultKind];
export type EngineFault = Fault<EngineFaultKind>;

/** How a run ended. */
export const RunOutcome = {
  Running: 'running',
  Finished: 'finished',
  Cancelled: 'cancelled',
  /** Finished, but a fault destroyed the connection of its first answer on the way. */
  Cut: 'cut',
  /** Ended by a crash. */
  Lost: 'lost',
} as const;
export type RunOutcome = (typeof RunOutcome)[keyof typeof RunOutcome];

/** A request that the engine admitted, queued or running. */
export interface EngineRunEntry {
  requestId: string;
  /** `x-bench-request` of the caller, if any. */
  benchRequest: string | null;
  /** SHA-256 of the request's body, hex. */
  digest: string;
  /** Epoch milliseconds of arrival. */
  arrivedAtMs: number;
  /** Epoch milliseconds of admission to the batch; null while queued. */
  startedAtMs: number | null;
  /** Epoch milliseconds of the end; null while it runs. */
  endedAtMs: number | null;
  outcome: RunOutcome;
  /** Tokens generated so far. */
  tokens: number;
  /** Prompt tokens found in the prefix cache. */
  cachedTokens: number;
}

/** An order as the engine took it. */
export interface OrderEntry {
  kind: 'load-model' | 'unload-model' | 'change-role';
  model: string | null;
  role: string | null;
  fencing: number;
  accepted: boolean;
  /** Epoch milliseconds. */
  atMs: number;
}

/** Times and limits of the batch. */
export interface BatchSettings {
  /** Step time of an empty batch, in milliseconds. @default 12 */
  baseTokenMs: number;
  /** Step time added by each sequence of the batch, in milliseconds. @default 0.5 */
  perSequenceMs: number;
  /** Prefill time of one uncached prompt token, in milliseconds. @default 0.1 */
  prefillTokenMs: number;
  /** Sequences in the batch at once. @default 16 */
  maxBatch: number;
  /** KV memory, in tokens. @default 65536 */
  kvTokensTotal: number;
  /** Prompt blocks that the prefix cache holds. @default 1024 */
  cacheBlocks: number;
  /** Tokens of one prompt block. @default 64 */
  blockTokens: number;
}

export interface EngineOptions extends ListenOptions, Partial<BatchSettings> {
  /** Seed of fault probabilities and cache event loss. @default 1 */
  seed?: number;
  /** Models loaded from the start. @default ['standin-model'] */
  models?: string[];
  /** Runs everything this many times faster. @default 1 */
  timeScale?: number;
  /** Tokens in one SSE chunk. @default 1 */
  tokensPerChunk?: number;
  /** Age of load reports, at most, in milliseconds. @default 200 */
  loadLagMs?: number;
  /** Delay of cache events, in milliseconds. @default 200 */
  cacheEventLagMs?: number;
  /** Chance that a cache event is lost, 0 to 1. @default 0.02 */
  cacheEventLoss?: number;
  /** How long a finished answer can be resumed, in milliseconds. @default 30000 */
  resumeKeepMs?: number;
  /** Whether a closed connection cancels its request. @default false */
  cancelOnDisconnect?: boolean;
  /** Whether orders with an old fencing number are refused. @default false */
  checksFencing?: boolean;
  /** Time of a model load, in milliseconds, besides the fetch. @default 1000 */
  modelLoadMs?: number;
  /** Base URL of the platform service to fetch weights from. @default none */
  weightStoreUrl?: string;
  /** Faults by time since the start. @default [] */
  plan?: PlannedFault<EngineFaultKind>[];
}

export interface EngineStandin {
  port: number;
  url: string;
  faults: FaultTable<EngineFaultKind>;
  /** Every run so far, in order of arrival. */
  journal(): (EngineRunEntry & { seq: number })[];
  /** Every order so far. */
  orders(): (OrderEntry & { seq: number })[];
  /** What the stand-in holds now, for a dump. */
  state(): object;
  close(): Promise<void>;
}
