/** Types of the attempt registry. */
import type { AttemptOutcome, AttemptRefusalReason } from '@kingcupsill/core';

import type { BackendRequest } from '../backend/types.js';
import type { ResponseBuffer } from '../response/types.js';

/** Request, response and progress of one attempt. */
export interface AttemptEntry {
  req: BackendRequest;
  response: ResponseBuffer;
  /** Reason for which the attempt was refused, or null. Set before `decided` resolves. */
  refusal: AttemptRefusalReason | null;
  /** Resolves once the attempt has been refused, or its response has started or ended. */
  decided: Promise<void>;
  /** Resolves `decided`. */
  decide(): void;
  /** Resolves once the attempt has ended and its slot is free. */
  released: Promise<void>;
  /** Resolves `released`. */
  release(): void;
  /** Time for which the slot was used, in milliseconds. Set when the attempt ends. */
  slotMs: number;
}

/** Registry of attempts and of pending outcome queries. */
export interface AttemptRegistry {
  add(req: BackendRequest): AttemptEntry;
  get(attempt: string): AttemptEntry | undefined;
  remove(attempt: string): void;
  /** Adds a query, whose promise resolves with the reducer's result. */
  addOutcomeQuery(): { queryId: number; outcome: Promise<AttemptOutcome> };
  /** Resolves a pending query and removes it. */
  resolveOutcomeQuery(queryId: number, outcome: AttemptOutcome): void;
}
