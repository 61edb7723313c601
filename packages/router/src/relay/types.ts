/** Types of the relay between callers and sidecars. */
import type { RouterEffect, RouterProcessEvent } from '@kingcupsill/core';

import type { PendingRequest } from '../callers/types.js';

type EffectOf<K extends RouterEffect['kind']> = Extract<RouterEffect, { kind: K }>;

export type DispatchEffect = EffectOf<'dispatch'>;
export type ResumeEffect = EffectOf<'resume'>;
export type QueryOutcomeEffect = EffectOf<'ask-outcome'>;
export type QueryClaimedAttemptEffect = EffectOf<'bar-attempt'>;
export type FetchResponseEffect = EffectOf<'fetch-answer'>;
export type CancelEffect = EffectOf<'cancel'>;

/** Dependencies and options of the relay. */
export interface RelayOptions {
  /** Token by which the router authenticates to sidecars. */
  token: string;
  /** Incarnation of this router. */
  incarnation: string;
  /** Current monotonic time in milliseconds. */
  clock(): number;
  /** Current wall-clock time in milliseconds. */
  wallClock(): number;
  dispatch(event: RouterProcessEvent): void;
  /** Returns a caller's request, or undefined if it has ended. */
  findRequest(request: string): PendingRequest | undefined;
}

/** Handlers of effects on attempts. Each dispatches an event when it ends, and none rejects. */
export interface Relay {
  dispatch(effect: DispatchEffect): Promise<void>;
  resume(effect: ResumeEffect): Promise<void>;
  queryOutcome(effect: QueryOutcomeEffect): Promise<void>;
  cancel(effect: CancelEffect): Promise<void>;
  /** Queries the outcome of an earlier attempt with a request's idempotency key. */
  queryClaimedAttempt(effect: QueryClaimedAttemptEffect): Promise<void>;
  /** Fetches the response of an earlier attempt with a request's idempotency key. */
  fetchResponse(effect: FetchResponseEffect): Promise<void>;
  close(): Promise<void>;
}
