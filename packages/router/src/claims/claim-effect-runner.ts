/** Runs the calls that claims of idempotency keys make to the object service. */
import type { ForwardedClaimEffect, RouterProcessEvent } from '@kingcupsill/core';
import { createClaimStore, createObjectClient } from '@kingcupsill/platform';

/** Time allowed for one call: below the life of a grant, as a granted slot is held while its claim is written. */
const CALL_TIMEOUT_MS = 900;

type EffectOf<K extends ForwardedClaimEffect['kind']> = Extract<ForwardedClaimEffect, { kind: K }>;

export interface ClaimEffectRunnerOptions {
  /** Base URL of the platform. */
  url: string;
  clock(): number;
  /** Wall-clock time in milliseconds. */
  wallClock(): number;
  dispatch(event: RouterProcessEvent): void;
}

/** Runs the effects that concern claim objects. None rejects. */
export interface ClaimEffectRunner {
  /** Ends in one event. */
  run(effect: EffectOf<'store-read' | 'store-create' | 'store-update'>): Promise<void>;
  remove(effect: EffectOf<'store-remove'>): Promise<void>;
}

/** Creates the runner. */
export function createClaimEffectRunner(options: ClaimEffectRunnerOptions): ClaimEffectRunner {
  const { url, clock, wallClock, dispatch } = options;
  const store = createClaimStore(createObjectClient({ url, timeoutMs: CALL_TIMEOUT_MS }));
  return {
    async run(effect) {
      const answer = await store.run(effect);
      const { request } = effect;
      dispatch({ ...answer, nowMs: clock(), wallMs: wallClock(), request });
    },
    remove: (effect) => store.remove(effect),
  };
}
