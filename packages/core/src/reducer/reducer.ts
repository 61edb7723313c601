/** Types common to all reducers of the library. */

/** Result of a reducer: the next state and the effects to perform, in order. */
export interface ReducerResult<TState, TEffect> {
  state: TState;
  effects: TEffect[];
}

/**
 * Function that applies an event to a state. It may modify the given state in place and return it, so the caller must not use the
 * old state afterwards. It is deterministic: the same events on the same initial state produce the same effects.
 */
export type Reducer<TState, TEvent, TEffect> = (
  state: TState,
  event: TEvent,
) => ReducerResult<TState, TEffect>;
