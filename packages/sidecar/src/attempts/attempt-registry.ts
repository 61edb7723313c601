/** Holds the requests and answers of attempts, and the questions about them that wait for the reducer. */
import type { AttemptOutcome } from '@kingcupsill/core';
import { createDeferred } from '@kingcupsill/fleet';

import { createResponseBuffer } from '../response/response-buffer.js';
import type { BackendRequest } from '../backend/types.js';
import type { AttemptRegistry, AttemptEntry } from './types.js';

/** Creates an empty registry. */
export function createAttemptRegistry(): AttemptRegistry {
  const attempts = new Map<string, AttemptEntry>();
  const questions = new Map<number, (outcome: AttemptOutcome) => void>();
  let nextAsk = 1;

  return {
    add(req) {
      const held = createHeldAttempt(req);
      attempts.set(req.attempt, held);
      return held;
    },
    get: (attempt) => attempts.get(attempt),
    remove(attempt) {
      attempts.delete(attempt);
    },
    addOutcomeQuery() {
      const queryId = nextAsk;
      nextAsk += 1;
      const outcome = new Promise<AttemptOutcome>((resolve) => {
        questions.set(queryId, resolve);
      });
      return { queryId, outcome };
    },
    resolveOutcomeQuery(queryId, outcome) {
      questions.get(queryId)?.(outcome);
      questions.delete(queryId);
    },
  };
}

function createHeldAttempt(req: BackendRequest): AttemptEntry {
  const decision = createDeferred();
  const end = createDeferred();
  return {
    req,
    response: createResponseBuffer(),
    refusal: null,
    decided: decision.promise,
    decide: decision.resolve,
    released: end.promise,
    release: end.resolve,
    slotMs: 0,
  };
}
