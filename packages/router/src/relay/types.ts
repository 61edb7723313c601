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
  findRequest(request: string): PendingRequest | undefined;
}

/** Runs the effects that concern attempts. Each ends in an event; none rejects. */
export interface Relay {
  dispatch(effect: DispatchEffect): Promise<void>;
  resume(effect: ResumeEffect): Promise<void>;
  queryOutcome(effect: QueryOutcomeEffect): Promise<void>;
  cancel(effect: CancelEffect): Promise<void>;
  /** Asks what became of an earlier attempt with a request's idempotency key. */
  queryClaimedAttempt(effect: QueryClaimedAttemptEffect): Promise<void>;
  /** Fetches the answer of such an attempt. */
  fetchResponse(effect: FetchResponseEffect): Promise<void>;
  close(): Promise<void>;
}
