/** Simulation of routers, an object service and sidecars for one idempotency key, with steps in arbitrary order. */
import assert from 'node:assert/strict';

import { CLAIM_IN_PROGRESS_GRACE_MS, claimReducer, createClaimState } from '../../src/index.js';
import type {
  AttemptTarget,
  Claim,
  ClaimEffect,
  ClaimEvent,
  ClaimState,
  ClaimWriteOutcome,
  RecordedResponse,
} from '../../src/index.js';

/** Outcome of a pending effect. */
export type StepOutcome = 'ok' | 'answer-lost' | 'late' | 'failed';

interface Request {
  id: number;
  isAlive: boolean;
  state: ClaimState;
  attempts: string[];
  outcome?: ClaimEffect;
}

interface Pending {
  request: Request;
  effect: ClaimEffect;
}

interface Sidecar {
  incarnation: number;
  journal: Map<string, 'running' | 'finished' | 'barred'>;
  /** End time by attempt. */
  endedAtMs: Map<string, number>;
}

type StoreWrite = Extract<ClaimEffect, { kind: 'store-create' | 'store-update' | 'store-remove' }>;

const SIDECAR_COUNT = 2;
/** Time after which a sidecar drops an ended attempt from its journal. */
const JOURNAL_RETENTION_MS = 120_000;
const KEY = 'claims/k';

export const responseOf = (attempt: string): RecordedResponse => ({
  status: 200,
  headers: [],
  bodyBase64: Buffer.from(attempt).toString('base64'),
});

export const createClaimSimulation = () => {
  const requests: Request[] = [];
  const pending: Pending[] = [];
  const lateWrites: StoreWrite[] = [];
  /** All executions at backend servers. */
  const executions: { attempt: string; request: Request; sidecar: number }[] = [];
  const unfinishedExecutions: typeof executions = [];
  const sidecars: Sidecar[] = Array.from({ length: SIDECAR_COUNT }, () => ({
    incarnation: 0,
    journal: new Map(),
    endedAtMs: new Map(),
  }));
  let stored: { version: number; claim: Claim } | undefined;
  let version = 0;
  let nowMs = 1_000_000;
  let restartCount = 0;
  let agingCount = 0;

  const verifyOutcome = (request: Request, effect: ClaimEffect): void => {
    request.outcome = effect;
    if (effect.kind === 'answer') {
      assert.deepEqual(
        effect.answer,
        responseOf(executions[0]!.attempt),
        'the response does not come from the execution',
      );
    }
    if (effect.kind === 'refuse' && effect.ran === 'no') {
      const wasExecuted = executions.some((run) => request.attempts.includes(run.attempt));
      assert.equal(wasExecuted, false, 'a request that ran was refused as not run');
    }
  };

  const feed = (request: Request, event: ClaimEvent): void => {
    if (!request.isAlive) return;
    claimReducer(request.state, event).effects.forEach((effect) => {
      if (effect.kind === 'answer' || effect.kind === 'refuse') verifyOutcome(request, effect);
      else if (effect.kind !== 'decline-slot') pending.push({ request, effect });
    });
  };

  const applyWrite = (effect: StoreWrite): 'ok' | 'conflict' => {
    const expected = effect.kind === 'store-create' ? undefined : effect.version;
    if (stored?.version !== expected) return 'conflict';
    version += 1;
    stored = effect.kind === 'store-remove' ? undefined : { version, claim: effect.claim };
    return 'ok';
  };

  const performWrite = (request: Request, effect: StoreWrite, stepOutcome: StepOutcome): void => {
    if (stepOutcome === 'failed') {
      feed(request, { kind: 'claim-written', nowMs, outcome: { code: 'failed' } });
      return;
    }
    if (stepOutcome === 'late') lateWrites.push(effect);
    const code = stepOutcome === 'late' ? ('unknown' as const) : applyWrite(effect);
    const writeOutcome: ClaimWriteOutcome = code === 'ok' ? { code, version } : { code };
    const outcome: ClaimWriteOutcome =
      stepOutcome === 'answer-lost' ? { code: 'unknown' } : writeOutcome;
    if (effect.kind !== 'store-remove') feed(request, { kind: 'claim-written', nowMs, outcome });
  };

  const getSidecar = (target: AttemptTarget): Sidecar | undefined => {
    const sidecar = sidecars[Number(target.backend)]!;
    return String(sidecar.incarnation) === target.sidecarIncarnation ? sidecar : undefined;
  };

  const handlers: {
    [K in ClaimEffect['kind']]?: (
      request: Request,
      effect: Extract<ClaimEffect, { kind: K }>,
      stepOutcome: StepOutcome,
    ) => void;
  } = {
    'store-read': (request, _, stepOutcome) => {
      const found =
        stored === undefined ? { code: 'absent' as const } : { code: 'found' as const, ...stored };
      const outcome = stepOutcome === 'ok' ? found : { code: 'failed' as const };
      feed(request, { kind: 'claim-read', nowMs, outcome });
    },
    'store-create': performWrite,
    'store-update': performWrite,
    'store-remove': performWrite,
    'await-slot': (request, _, stepOutcome) => {
      if (stepOutcome === 'failed') {
        feed(request, { kind: 'withdrawn', nowMs });
        return;
      }
      const index = (request.id + request.attempts.length) % SIDECAR_COUNT;
      const attempt = `${request.id}.${request.attempts.length}`;
      request.attempts.push(attempt);
      const { incarnation } = sidecars[index]!;
      const backend = String(index);
      const target = {
        attempt,
        backend,
        sidecarIncarnation: String(incarnation),
        dataUrl: backend,
      };
      feed(request, { kind: 'slot-granted', nowMs, target });
    },
    dispatch: (request, { target }) => {
      const sidecar = getSidecar(target);
      if (sidecar === undefined || sidecar.journal.has(target.attempt)) {
        feed(request, { kind: 'attempt-ended', nowMs, outcome: { code: 'not-run' } });
        return;
      }
      sidecar.journal.set(target.attempt, 'running');
      const run = { attempt: target.attempt, request, sidecar: Number(target.backend) };
      executions.push(run);
      unfinishedExecutions.push(run);
      assert.equal(executions.length, 1, 'the operation ran more than once');
    },
    'bar-attempt': (request, { target }, stepOutcome) => {
      const sidecar = getSidecar(target);
      const stateBefore = sidecar?.journal.get(target.attempt);
      if (sidecar !== undefined && stateBefore === undefined)
        sidecar.journal.set(target.attempt, 'barred');
      const answer = sidecar === undefined ? 'unknown-outcome' : (stateBefore ?? 'barred');
      const outcome = stepOutcome === 'ok' ? answer : 'unreachable';
      feed(request, { kind: 'attempt-asked', nowMs, outcome });
    },
    'fetch-answer': (request, { target }, stepOutcome) => {
      const isKept =
        stepOutcome === 'ok' && getSidecar(target)?.journal.get(target.attempt) === 'finished';
      const answer = isKept ? responseOf(target.attempt) : undefined;
      feed(request, { kind: 'answer-fetched', nowMs, answer });
    },
  };

  const performStep = <K extends ClaimEffect['kind']>(
    request: Request,
    effect: Extract<ClaimEffect, { kind: K }>,
    stepOutcome: StepOutcome,
  ): void => handlers[effect.kind]?.(request, effect, stepOutcome);

  return {
    executions,
    /** Returns whether the outcome of an attempt may have been lost permanently. */
    mayHaveLostOutcome: () => restartCount > 0 || agingCount > 0,
    addRequest: (): Request => {
      const id = requests.length;
      const routerIncarnation = `router-${id % 2}`;
      const state = createClaimState({ key: KEY, bodyDigest: 'd', routerIncarnation });
      const request: Request = { id, isAlive: true, state, attempts: [] };
      requests.push(request);
      feed(request, { kind: 'request', nowMs });
      return request;
    },
    advancePastGracePeriod: () => {
      nowMs += CLAIM_IN_PROGRESS_GRACE_MS + 1;
    },
    /** Advances the clock by most of the journal retention time and drops the expired attempts. */
    ageJournals: () => {
      agingCount += 1;
      nowMs += 0.7 * JOURNAL_RETENTION_MS;
      sidecars.forEach(({ journal, endedAtMs }) =>
        endedAtMs.forEach((endedMs, attempt) => {
          if (nowMs - endedMs > JOURNAL_RETENTION_MS) journal.delete(attempt);
        }),
      );
    },
    /** Performs one pending effect, even if its request has been killed: what was sent still arrives. */
    performPendingStep: (pick: number, stepOutcome: StepOutcome) => {
      const [next] = pending.splice(pick % Math.max(1, pending.length), 1);
      if (next !== undefined) performStep(next.request, next.effect, stepOutcome);
    },
    pendingCount: () => pending.length,
    applyLateWrite: () => lateWrites.splice(0, 1).forEach(applyWrite),
    finishExecution: () =>
      unfinishedExecutions.splice(0, 1).forEach(({ attempt, request, sidecar }) => {
        sidecars[sidecar]!.journal.set(attempt, 'finished');
        sidecars[sidecar]!.endedAtMs.set(attempt, nowMs);
        const outcome = { code: 'finished' as const, answer: responseOf(attempt) };
        feed(request, { kind: 'attempt-ended', nowMs, outcome });
      }),
    killRequest: (pick: number) => {
      const request = requests[pick % Math.max(1, requests.length)];
      if (request !== undefined) request.isAlive = false;
    },
    restartSidecar: (pick: number) => {
      const index = pick % SIDECAR_COUNT;
      restartCount += 1;
      sidecars[index] = {
        incarnation: sidecars[index]!.incarnation + 1,
        journal: new Map(),
        endedAtMs: new Map(),
      };
      const lostExecutions = unfinishedExecutions.filter((run) => run.sidecar === index);
      lostExecutions.forEach((run) => {
        unfinishedExecutions.splice(unfinishedExecutions.indexOf(run), 1);
        feed(run.request, { kind: 'attempt-ended', nowMs, outcome: { code: 'unknown' } });
      });
    },
  };
};

export type ClaimSimulation = ReturnType<typeof createClaimSimulation>;
