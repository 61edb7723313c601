/** Shape shared by all reducers of the library. */

/** What a reducer returns: the next state and the effects to run, in order. */
export interface ReducerResult<TState, TEffect> {
  state: TState;
  effects: TEffect[];
}

/**
 * A reducer. It consumes the state passed in: it may update it in place and return it. The same events from the same initial
 * state give the same effects.
 */
export type Reducer<TState, TEvent, TEffect> = (
  state: TState,
  event: TEvent,
) => ReducerResult<TState, TEffect>;
