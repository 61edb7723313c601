/** Attempts as the sidecar's HTTP interface holds them. */
import type { AttemptOutcome, AttemptRefusalReason } from '@kingcupsill/core';

import type { ResponseBuffer } from '../response/types.js';
import type { BackendRequest } from '../backend/types.js';

/** An attempt's request and answer. */
export interface AttemptEntry {
  req: BackendRequest;
  response: ResponseBuffer;
  /** Reason of a refusal, or null. Set before `decided` resolves. */
  refusal: AttemptRefusalReason | null;
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
  add(req: BackendRequest): AttemptEntry;
  get(attempt: string): AttemptEntry | undefined;
  remove(attempt: string): void;
  /** Registers a question; the outcome resolves it. */
  addOutcomeQuery(): { queryId: number; outcome: Promise<AttemptOutcome> };
  resolveOutcomeQuery(queryId: number, outcome: AttemptOutcome): void;
}
