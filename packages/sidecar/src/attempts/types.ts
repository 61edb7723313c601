/** Attempts as the sidecar's HTTP interface holds them. */
import type { AttemptOutcome, AttemptRefusalReason } from '@kingcupsill/core';

import type { Answer } from '../answer/types.js';
import type { BackendRequest } from '../backend/types.js';

/** An attempt's request and answer. */
export interface HeldAttempt {
  req: BackendRequest;
  answer: Answer;
  /** Reason of a refusal, or null. Set before `decided` resolves. */
  refused: AttemptRefusalReason | null;
  /** Resolves when the attempt was refused or its answer began or ended. */
  decided: Promise<void>;
  decide(): void;
  /** Resolves when the attempt has ended and its slot is free. */
  released: Promise<void>;
  release(): void;
  /** Slot time used, in milliseconds; known after the end. */
  slotMs: number;
}

/** Registry of attempts and of routers that wait for an outcome. */
export interface AttemptRegistry {
  add(req: BackendRequest): HeldAttempt;
  get(attempt: string): HeldAttempt | undefined;
  remove(attempt: string): void;
  /** Registers a question; the outcome resolves it. */
  ask(): { ask: number; outcome: Promise<AttemptOutcome> };
  tell(ask: number, outcome: AttemptOutcome): void;
}
