/** Object service calls for claims of idempotency keys. */
import type { ForwardedClaimEffect, RouterProcessEvent } from '@kingcupsill/core';
import { createClaimStore, createObjectClient } from '@kingcupsill/platform';

/** Timeout of a call. Must be below the lifetime of a grant, because a granted slot is reserved while its claim is written. */
const CALL_TIMEOUT_MS = 900;

type EffectOf<K extends ForwardedClaimEffect['kind']> = Extract<ForwardedClaimEffect, { kind: K }>;

/** Dependencies of the runner. */
export interface ClaimEffectRunnerOptions {
  /** Base URL of the platform. */
  url: string;
  /** Current monotonic time in milliseconds. */
  clock(): number;
  /** Current wall-clock time in milliseconds. */
  wallClock(): number;
  dispatch(event: RouterProcessEvent): void;
}

/** Runner of effects on claim objects. No call rejects. */
export interface ClaimEffectRunner {
  /** Runs the effect and dispatches exactly one event with its result. */
  run(effect: EffectOf<'store-read' | 'store-create' | 'store-update'>): Promise<void>;
  /** Removes a claim without dispatching an event. */
  remove(effect: EffectOf<'store-remove'>): Promise<void>;
}

/** Creates a runner for the object service at `url`. */
export function createClaimEffectRunner(options: ClaimEffectRunnerOptions): ClaimEffectRunner {
  const { url, clock, wallClock, dispatch } = options;
  const store = createClaimStore(createObjectClient({ url, timeoutMs: CALL_TIMEOUT_MS }));
  return {
    async run(effect) {
      const result = await store.run(effect);
      const { request } = effect;
      dispatch({ ...result, nowMs: clock(), wallMs: wallClock(), request });
    },
    remove: (effect) => store.remove(effect),
  };
}
