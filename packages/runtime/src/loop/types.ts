/** Types of the loop. */
import type { Reducer } from '@kingcupsill/core';

/** One handler for each kind of effect. A returned promise is watched for errors, not awaited. */
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
   * Takes what a reducer or handler threw; both are broken invariants. After a reducer's error the loop is closed.
   * @default throws it outside of the loop, which ends the process
   */
  onError?: (err: Error) => void;
}

/** Runs one reducer over all events of a process. */
export interface Loop<TState, TEvent> {
  /** Queues an event and, unless a step runs already, runs all queued ones. */
  dispatch(event: TEvent): void;
  /** The current state; only to be read. */
  state(): TState;
  /** Drops queued and later events. */
  close(): void;
}
