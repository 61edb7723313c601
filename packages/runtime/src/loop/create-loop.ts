/** Event loop of a process: an event queue, one reducer, and handlers for its effects. */
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
  const { reduce, onError = throwAsync } = options;
  const handlers = options.handlers as unknown as Record<
    string,
    (effect: TEffect, dispatch: (event: TEvent) => void) => void | Promise<void>
  >;
  let state = options.initialState;
  let queue: TEvent[] = [];
  let running = false;
  let closed = false;

  function reportError(kind: string, err: unknown): void {
    onError(new VError({ name: 'EffectError', cause: toError(err) }, 'effect %s failed', kind));
  }

  function runEffect(effect: TEffect): void {
    try {
      const pending = handlers[effect.kind]!(effect, dispatch);
      if (pending !== undefined) pending.catch((err: unknown) => reportError(effect.kind, err));
    } catch (err) {
      reportError(effect.kind, err);
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
