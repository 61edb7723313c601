/** Registry of the attempts of this sidecar, and of outcome queries pending in the reducer. */
import type { AttemptOutcome } from '@kingcupsill/core';
import { createDeferred } from '@kingcupsill/fleet';

import type { BackendRequest } from '../backend/types.js';
import { createResponseBuffer } from '../response/response-buffer.js';
import type { AttemptEntry, AttemptRegistry } from './types.js';

/** Creates an empty registry. */
export function createAttemptRegistry(): AttemptRegistry {
  const attempts = new Map<string, AttemptEntry>();
  const pendingQueries = new Map<number, (outcome: AttemptOutcome) => void>();
  let nextQueryId = 1;

  return {
    add(req) {
      const entry = createAttemptEntry(req);
      attempts.set(req.attempt, entry);
      return entry;
    },
    get: (attempt) => attempts.get(attempt),
    remove(attempt) {
      attempts.delete(attempt);
    },
    addOutcomeQuery() {
      const queryId = nextQueryId;
      nextQueryId += 1;
      const outcome = new Promise<AttemptOutcome>((resolve) => {
        pendingQueries.set(queryId, resolve);
      });
      return { queryId, outcome };
    },
    resolveOutcomeQuery(queryId, outcome) {
      pendingQueries.get(queryId)?.(outcome);
      pendingQueries.delete(queryId);
    },
  };
}

function createAttemptEntry(req: BackendRequest): AttemptEntry {
  const decision = createDeferred();
  const slotRelease = createDeferred();
  return {
    req,
    response: createResponseBuffer(),
    refusal: null,
    decided: decision.promise,
    decide: decision.resolve,
    released: slotRelease.promise,
    release: slotRelease.resolve,
    slotMs: 0,
  };
}
