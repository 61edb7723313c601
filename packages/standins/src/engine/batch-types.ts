/** State, events and effects of the batch reducer. */
import type { CacheChange, PrefixCacheState } from './prefix-cache.js';
import type { BatchSettings } from './types.js';

/** What the batch needs to know of a request. */
export interface Sequence {
  /** Unique among all runs of the engine. */
  runId: number;
  promptTokens: number;
  /** Tokens the answer will have; at least 1. */
  answerTokens: number;
  /** Fingerprints of the prompt's whole blocks. */
  fingerprints: string[];
}

/** A sequence of the batch and how far it is. */
export interface RunningSequence extends Sequence {
  produced: number;
}

/** State of the batch; the reducer updates it in place. */
export interface BatchState {
  settings: BatchSettings;
  /** Sequences of the batch, in order of admission. */
  running: RunningSequence[];
  /** Sequences that wait for a place and KV memory, first come first. */
  queued: Sequence[];
  /** KV tokens reserved by running sequences. */
  kvTokensUsed: number;
  cache: PrefixCacheState;
  /** End of the step that runs, or null between steps. */
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
  /** Send `step-end` at this time, in place of any earlier wish. */
  | { kind: 'schedule-step'; atMs: number }
  /** The sequence is in the batch. */
  | { kind: 'started'; runId: number; cachedTokens: number }
  /** The sequence has its token number `index`, counted from 0. */
  | { kind: 'token'; runId: number; index: number }
  | { kind: 'finished'; runId: number }
  | { kind: 'cancelled'; runId: number }
  /** The sequence can never fit the KV memory. */
  | { kind: 'rejected'; runId: number }
  | { kind: 'cache-change'; change: CacheChange };

export interface BatchResult {
  state: BatchState;
  effects: BatchEffect[];
}
