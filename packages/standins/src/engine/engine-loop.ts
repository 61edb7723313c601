/** Runs the batch reducer in real time. */
import { createBatchState, reduceBatch } from './batch-reducer.js';
import type { BatchEffect, BatchEvent, BatchState, Sequence } from './batch-types.js';
import type { BatchSettings } from './types.js';

type EffectOf<Kind extends BatchEffect['kind']> = Extract<BatchEffect, { kind: Kind }>;

/** Handlers of all batch effects except `schedule-step`. */
export type BatchHandlers = {
  [Kind in Exclude<BatchEffect['kind'], 'schedule-step'>]: (effect: EffectOf<Kind>) => void;
};

export interface EngineLoopOptions {
  settings: BatchSettings;
  timeScale: number;
  handlers: BatchHandlers;
}

/** Drives the batch in real time with a single timer. */
export interface EngineLoop {
  enqueue(sequence: Sequence): void;
  cancel(runId: number): void;
  freeze(durationMs: number): void;
  crash(): void;
  state(): Readonly<BatchState>;
  close(): void;
}

/** Creates a loop with an idle batch, whose clock runs `timeScale` times faster than real time. */
export const createEngineLoop = (options: EngineLoopOptions): EngineLoop => {
  const { timeScale } = options;
  const startMs = performance.now();
  let state = createBatchState(options.settings);
  let timer: NodeJS.Timeout | undefined;
  let closed = false;

  const nowMs = () => (performance.now() - startMs) * timeScale;

  const scheduleStep = ({ atMs }: EffectOf<'schedule-step'>) => {
    clearTimeout(timer);
    const onTimer = () => dispatch({ kind: 'step-end', nowMs: Math.max(nowMs(), atMs) });
    timer = setTimeout(onTimer, (atMs - nowMs()) / timeScale);
  };
  const handlers = { ...options.handlers, 'schedule-step': scheduleStep };
  const applyEffect = (effect: BatchEffect) =>
    (handlers[effect.kind] as (next: BatchEffect) => void)(effect);
  function dispatch(event: BatchEvent): void {
    if (closed) return;
    const result = reduceBatch(state, event);
    state = result.state;
    result.effects.forEach(applyEffect);
  }

  return {
    enqueue: (sequence) => dispatch({ kind: 'arrive', nowMs: nowMs(), sequence }),
    cancel: (runId) => dispatch({ kind: 'cancel', nowMs: nowMs(), runId }),
    freeze: (durationMs) => dispatch({ kind: 'freeze', nowMs: nowMs(), durationMs }),
    crash: () => {
      clearTimeout(timer);
      dispatch({ kind: 'crash', nowMs: nowMs() });
    },
    state: () => state,
    close: () => {
      closed = true;
      clearTimeout(timer);
    },
  };
};
