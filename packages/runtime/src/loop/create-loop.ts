/** Event loop of a process: an event queue, one reducer, and handlers for its effects. */
import { getOwn } from '@kingcupsill/core/collections';
import VError from 'verror';
import type { Loop, LoopOptions } from './types.js';

function throwAsync(err: Error): void {
  queueMicrotask(() => {
    throw err;
  });
}

function toError(err: unknown): Error {
  return err instanceof Error ? err : new VError('%s', String(err));
}

/**
 * Creates a loop. The effects of an event run in order before the next event is reduced; events dispatched meanwhile are queued.
 */
export function createLoop<TState, TEvent, TEffect extends { kind: string }>(
  options: LoopOptions<TState, TEvent, TEffect>,
): Loop<TState, TEvent> {
  const { reduce, onEffectError = () => undefined, onError = throwAsync } = options;
  const handlers = options.handlers as unknown as Record<
    string,
    (effect: TEffect, dispatch: (event: TEvent) => void) => void | Promise<void>
  >;
  let state = options.initialState;
  let queue: TEvent[] = [];
  let running = false;
  let closed = false;

  function handleError(effect: TEffect, cause: unknown): void {
    const name = 'EffectError';
    const err = new VError({ name, cause: toError(cause) }, 'effect %s failed', effect.kind);
    const events = onEffectError(err, effect);
    if (events === undefined) onError(err);
    else events.forEach(dispatch);
  }

  function runEffect(effect: TEffect): void {
    try {
      const pending = getOwn(handlers, effect.kind)!(effect, dispatch);
      if (pending !== undefined) pending.catch((err: unknown) => handleError(effect, err));
    } catch (err) {
      handleError(effect, err);
    }
  }

  function reduceEvent(event: TEvent): TEffect[] {
    try {
      const step = reduce(state, event);
      state = step.state;
      return step.effects;
    } catch (err) {
      close();
      onError(new VError({ name: 'ReducerError', cause: toError(err) }, 'reducer failed'));
      return [];
    }
  }

  function runQueue(): void {
    while (queue.length > 0) {
      const batch = queue;
      queue = [];
      for (const event of batch) {
        if (closed) return;
        reduceEvent(event).forEach(runEffect);
      }
    }
  }

  function dispatch(event: TEvent): void {
    if (closed) return;
    queue.push(event);
    if (running) return;
    running = true;
    try {
      runQueue();
    } finally {
      running = false;
    }
  }

  function close(): void {
    closed = true;
    queue = [];
  }

  return { dispatch, state: () => state, close };
}
