/** State, events and effects of the batch reducer. */
import type { CacheChange, PrefixCacheState } from './prefix-cache.js';
import type { BatchSettings } from './types.js';

/** Batch-relevant properties of a request. */
export interface Sequence {
  /** Unique among all runs of the engine. */
  runId: number;
  promptTokens: number;
  /** Number of answer tokens to generate; at least 1. */
  answerTokens: number;
  /** One fingerprint per full prompt block. */
  fingerprints: string[];
}

/** A sequence in the batch and its progress. */
export interface RunningSequence extends Sequence {
  generatedTokens: number;
}

/** State of the batch; the reducer updates it in place. */
export interface BatchState {
  settings: BatchSettings;
  /** Sequences in the batch, in order of admission. */
  running: RunningSequence[];
  /** FIFO queue of sequences that wait for a batch slot and KV memory. */
  queued: Sequence[];
  /** KV tokens reserved by running sequences. */
  kvTokensUsed: number;
  cache: PrefixCacheState;
  /** Scheduled end of the current step; null if no step is running. */
  stepEndsAtMs: number | null;
  /** No step ends before this time. */
  frozenUntilMs: number;
}

export type BatchEvent =
  | { kind: 'arrive'; nowMs: number; sequence: Sequence }
  | { kind: 'step-end'; nowMs: number }
  | { kind: 'cancel'; nowMs: number; runId: number }
  | { kind: 'freeze'; nowMs: number; durationMs: number }
  | { kind: 'crash'; nowMs: number };

export type BatchEffect =
  /** Schedules `step-end` for this time and replaces any earlier schedule. */
  | { kind: 'schedule-step'; atMs: number }
  /** The sequence was admitted to the batch. */
  | { kind: 'started'; runId: number; cachedTokens: number }
  /** The sequence generated the token with this zero-based index. */
  | { kind: 'token'; runId: number; index: number }
  | { kind: 'finished'; runId: number }
  | { kind: 'cancelled'; runId: number }
  /** The sequence exceeds the total KV memory. */
  | { kind: 'rejected'; runId: number }
  | { kind: 'cache-change'; change: CacheChange };

export interface BatchResult {
  state: BatchState;
  effects: BatchEffect[];
}
