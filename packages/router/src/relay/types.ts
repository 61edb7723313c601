/** Types of the relay between callers and sidecars. */
import type { RouterEffect, RouterProcessEvent } from '@kingcupsill/core';

import type { HeldRequest } from '../callers/types.js';

type EffectOf<K extends RouterEffect['kind']> = Extract<RouterEffect, { kind: K }>;

export type DispatchEffect = EffectOf<'dispatch'>;
export type ResumeEffect = EffectOf<'resume'>;
export type AskEffect = EffectOf<'ask-outcome'>;
export type AskClaimedEffect = EffectOf<'bar-attempt'>;
export type FetchAnswerEffect = EffectOf<'fetch-answer'>;
export type CancelEffect = EffectOf<'cancel'>;

/** What the relay needs. */
export interface RelayOptions {
  /** Token that sidecars expect. */
  token: string;
  /** Incarnation of this router. */
  incarnation: string;
  clock(): number;
  /** Wall-clock time in milliseconds. */
  wallClock(): number;
  dispatch(event: RouterProcessEvent): void;
  /** The caller's request, while the router holds it. */
  held(request: string): HeldRequest | undefined;
}

/** Runs the effects that concern attempts. Each ends in an event; none rejects. */
export interface Relay {
  dispatch(effect: DispatchEffect): Promise<void>;
  resume(effect: ResumeEffect): Promise<void>;
  askOutcome(effect: AskEffect): Promise<void>;
  cancel(effect: CancelEffect): Promise<void>;
  /** Asks what became of an earlier attempt with a request's idempotency key. */
  askClaimed(effect: AskClaimedEffect): Promise<void>;
  /** Fetches the answer of such an attempt. */
  fetchAnswer(effect: FetchAnswerEffect): Promise<void>;
  close(): Promise<void>;
}
