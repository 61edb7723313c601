/** Holds the requests and answers of attempts, and the questions about them that wait for the reducer. */
import type { AttemptOutcome } from '@kingcupsill/core';
import { createDeferred } from '@kingcupsill/fleet';

import { createAnswer } from '../answer/answer.js';
import type { BackendRequest } from '../backend/types.js';
import type { AttemptRegistry, HeldAttempt } from './types.js';

/** Creates an empty registry. */
export function createAttemptRegistry(): AttemptRegistry {
  const attempts = new Map<string, HeldAttempt>();
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
    ask() {
      const ask = nextAsk;
      nextAsk += 1;
      const outcome = new Promise<AttemptOutcome>((resolve) => {
        questions.set(ask, resolve);
      });
      return { ask, outcome };
    },
    tell(ask, outcome) {
      questions.get(ask)?.(outcome);
      questions.delete(ask);
    },
  };
}

function createHeldAttempt(req: BackendRequest): HeldAttempt {
  const decision = createDeferred();
  const end = createDeferred();
  return {
    req,
    answer: createAnswer(),
    refused: null,
    decided: decision.promise,
    decide: decision.resolve,
    released: end.promise,
    release: end.resolve,
    slotMs: 0,
  };
}
