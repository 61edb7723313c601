/** The loop of a process: a queue of events, one reducer, and handlers that run its effects. */
import VError from 'verror';
import type { Loop, LoopOptions } from './types.js';

function throwOutside(err: Error): void {
  queueMicrotask(() => {
    throw err;
  });
}

function toError(err: unknown): Error {
  return err instanceof Error ? err : new VError('%s', String(err));
}

/**
 * Creates a loop. The effects of a step run in order before the next event; an event that is dispatched meanwhile waits.
 */
export function createLoop<TState, TEvent, TEffect extends { kind: string }>(
  options: LoopOptions<TState, TEvent, TEffect>,
): Loop<TState, TEvent> {
  const { reduce, onError = throwOutside } = options;
  const handlers = options.handlers as unknown as Record<
    string,
    (effect: TEffect, dispatch: (event: TEvent) => void) => void | Promise<void>
  >;
  let state = options.initialState;
  let queue: TEvent[] = [];
  let running = false;
  let closed = false;

  function fail(kind: string, err: unknown): void {
    onError(new VError({ name: 'EffectError', cause: toError(err) }, 'effect %s failed', kind));
  }

  function runEffect(effect: TEffect): void {
    try {
      const pending = handlers[effect.kind]!(effect, dispatch);
      if (pending !== undefined) pending.catch((err: unknown) => fail(effect.kind, err));
    } catch (err) {
      fail(effect.kind, err);
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
