/** Reducer of continuous batching: admission, steps, KV memory and prefix cache. */
import type {
  BatchEffect,
  BatchEvent,
  BatchResult,
  BatchState,
  RunningSequence,
  Sequence,
} from './batch-types.js';
import { countCachedBlocks, createPrefixCache, storeBlocks } from './prefix-cache.js';
import type { BatchSettings } from './types.js';

/** Maximum timer delay, in milliseconds, that the next step compensates for by starting at the scheduled time. */
const MAX_CATCH_UP_MS = 100;

/** Creates an idle batch with an empty cache. */
export const createBatchState = (settings: BatchSettings): BatchState => ({
  settings,
  running: [],
  queued: [],
  kvTokensUsed: 0,
  cache: createPrefixCache(settings.cacheBlocks),
  stepEndsAtMs: null,
  frozenUntilMs: 0,
});

const requiredKvTokens = ({ promptTokens, answerTokens }: Sequence): number =>
  promptTokens + answerTokens;

const canAdmit = (state: BatchState, sequence: Sequence): boolean =>
  state.running.length < state.settings.maxBatch &&
  state.kvTokensUsed + requiredKvTokens(sequence) <= state.settings.kvTokensTotal;

/** Adds one sequence to the batch; returns its prefill time in milliseconds. */
const admit = (state: BatchState, sequence: Sequence, effects: BatchEffect[]): number => {
  const { settings, cache } = state;
  const cachedBlocks = countCachedBlocks(cache, sequence.fingerprints);
  const cachedTokens = Math.min(cachedBlocks * settings.blockTokens, sequence.promptTokens);
  state.kvTokensUsed += requiredKvTokens(sequence);
  state.running.push({ ...sequence, generatedTokens: 0 });
  effects.push({ kind: 'started', runId: sequence.runId, cachedTokens });
  storeBlocks(cache, sequence.fingerprints).forEach((change) =>
    effects.push({ kind: 'cache-change', change }),
  );
  return (sequence.promptTokens - cachedTokens) * settings.prefillTokenMs;
};

/** Admits queued sequences in FIFO order while they fit, and starts a step if the batch isn't empty. */
const startStep = (state: BatchState, startMs: number, effects: BatchEffect[]): void => {
  let prefillMs = 0;
  while (state.queued[0] !== undefined && canAdmit(state, state.queued[0])) {
    prefillMs += admit(state, state.queued.shift() as Sequence, effects);
  }
  if (state.running.length === 0) return;

  const { baseTokenMs, perSequenceMs } = state.settings;
  const durationMs = baseTokenMs + perSequenceMs * state.running.length + prefillMs;
  state.stepEndsAtMs = Math.max(startMs + durationMs, state.frozenUntilMs);
  effects.push({ kind: 'schedule-step', atMs: state.stepEndsAtMs });
};

const removeFromBatch = (state: BatchState, sequence: RunningSequence): void => {
  state.running = state.running.filter((candidate) => candidate !== sequence);
  state.kvTokensUsed -= requiredKvTokens(sequence);
};

type EventOf<Kind extends BatchEvent['kind']> = Extract<BatchEvent, { kind: Kind }>;

const onArrive = (state: BatchState, event: EventOf<'arrive'>): BatchEffect[] => {
  const { sequence, nowMs } = event;
  if (requiredKvTokens(sequence) > state.settings.kvTokensTotal) {
    return [{ kind: 'rejected', runId: sequence.runId }];
  }
  const effects: BatchEffect[] = [];
  state.queued.push(sequence);
  if (state.stepEndsAtMs === null) startStep(state, nowMs, effects);
  return effects;
};

const onStepEnd = (state: BatchState, { nowMs }: EventOf<'step-end'>): BatchEffect[] => {
  const endsAtMs = state.stepEndsAtMs;
  if (endsAtMs === null) return [];
  if (nowMs < endsAtMs) return [{ kind: 'schedule-step', atMs: endsAtMs }];

  const effects: BatchEffect[] = [];
  state.running.forEach((sequence) => {
    effects.push({ kind: 'token', runId: sequence.runId, index: sequence.generatedTokens });
    sequence.generatedTokens += 1;
  });
  state.running
    .filter(({ generatedTokens, answerTokens }) => generatedTokens >= answerTokens)
    .forEach((sequence) => {
      removeFromBatch(state, sequence);
      effects.push({ kind: 'finished', runId: sequence.runId });
    });
  state.stepEndsAtMs = null;
  startStep(state, nowMs - endsAtMs < MAX_CATCH_UP_MS ? endsAtMs : nowMs, effects);
  return effects;
};

const onCancel = (state: BatchState, { runId }: EventOf<'cancel'>): BatchEffect[] => {
  const running = state.running.find((candidate) => candidate.runId === runId);
  const isQueued = state.queued.some((candidate) => candidate.runId === runId);
  if (running === undefined && !isQueued) return [];
  if (running !== undefined) removeFromBatch(state, running);
  state.queued = state.queued.filter((candidate) => candidate.runId !== runId);
  return [{ kind: 'cancelled', runId }];
};

const onFreeze = (state: BatchState, event: EventOf<'freeze'>): BatchEffect[] => {
  state.frozenUntilMs = Math.max(state.frozenUntilMs, event.nowMs + event.durationMs);
  if (state.stepEndsAtMs === null) return [];
  state.stepEndsAtMs = Math.max(state.stepEndsAtMs, state.frozenUntilMs);
  return [{ kind: 'schedule-step', atMs: state.stepEndsAtMs }];
};

const onCrash = (state: BatchState): BatchEffect[] => {
  Object.assign(state, createBatchState(state.settings));
  return [];
};

const handlers: {
  [Kind in BatchEvent['kind']]: (state: BatchState, event: EventOf<Kind>) => BatchEffect[];
} = {
  arrive: onArrive,
  'step-end': onStepEnd,
  cancel: onCancel,
  freeze: onFreeze,
  crash: onCrash,
};

/** Applies one event to the batch. All times are milliseconds of the monotonic clock that the events carry. */
export const reduceBatch = (state: BatchState, event: BatchEvent): BatchResult => {
  const handle = handlers[event.kind] as (current: BatchState, next: BatchEvent) => BatchEffect[];
  return { state, effects: handle(state, event) };
};
