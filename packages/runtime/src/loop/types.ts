/** Types of the event loop. */
import type { Reducer } from '@kingcupsill/core';

/** One handler for each kind of effect. Returned promises aren't awaited, but their rejections are reported to `onError`. */
export type EffectHandlers<TEvent, TEffect extends { kind: string }> = {
  [Kind in TEffect['kind']]: (
    effect: Extract<TEffect, { kind: Kind }>,
    dispatch: (event: TEvent) => void,
  ) => void | Promise<void>;
};

/** Options of a loop. */
export interface LoopOptions<TState, TEvent, TEffect extends { kind: string }> {
  initialState: TState;
  reduce: Reducer<TState, TEvent, TEffect>;
  handlers: EffectHandlers<TEvent, TEffect>;
  /**
   * Called with the error of a handler before `onError`. Returns the events that end what the effect belongs to, so that the error
   * affects nothing else; undefined if the effect belongs to the whole process.
   * @default every error is passed to `onError`
   */
  onEffectError?: (err: Error, effect: TEffect) => TEvent[] | undefined;
  /**
   * Called with each other error of the reducer or a handler; both are broken invariants. An error of the reducer closes the loop.
   * @default rethrows the error asynchronously, as an uncaught exception
   */
  onError?: (err: Error) => void;
}

/** Event loop that applies one reducer to all events of a process. */
export interface Loop<TState, TEvent> {
  /** Queues an event and, unless the queue is already being processed, processes all queued events. */
  dispatch(event: TEvent): void;
  /** Returns the current state, which must not be modified. */
  state(): TState;
  /** Discards queued events and ignores later ones. */
  close(): void;
}
