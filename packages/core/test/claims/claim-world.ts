/** Routers, an object service and sidecars in small, whose steps happen in any order, for one idempotency key. */
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

/** How a pending step ends. */
export type Fate = 'ok' | 'answer-lost' | 'late' | 'failed';

interface Request {
  id: number;
  alive: boolean;
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
  /** When attempts ended. */
  endedAtMs: Map<string, number>;
}

type StoreWrite = Extract<ClaimEffect, { kind: 'store-create' | 'store-update' | 'store-remove' }>;

const SIDECAR_COUNT = 2;
/** Time after which a sidecar forgets an attempt that has ended. */
const JOURNAL_KEEP_MS = 120_000;
const KEY = 'claims/k';

export const answerOf = (attempt: string): RecordedResponse => ({
  status: 200,
  headers: [],
  bodyBase64: Buffer.from(attempt).toString('base64'),
});

export const createClaimWorld = () => {
  const requests: Request[] = [];
  const pending: Pending[] = [];
  const lateWrites: StoreWrite[] = [];
  /** Every execution at a backend server. */
  const runs: { attempt: string; request: Request; sidecar: number }[] = [];
  const unfinished: typeof runs = [];
  const sidecars: Sidecar[] = Array.from({ length: SIDECAR_COUNT }, () => ({
    incarnation: 0,
    journal: new Map(),
    endedAtMs: new Map(),
  }));
  let stored: { version: number; claim: Claim } | undefined;
  let version = 0;
  let nowMs = 1_000_000;
  let restarts = 0;
  let ages = 0;

  const checkOutcome = (request: Request, effect: ClaimEffect): void => {
    request.outcome = effect;
    if (effect.kind === 'answer') {
      assert.deepEqual(effect.answer, answerOf(runs[0]!.attempt), 'an answer of no run');
    }
    if (effect.kind === 'refuse' && effect.ran === 'no') {
      const ran = runs.some((run) => request.attempts.includes(run.attempt));
      assert.equal(ran, false, 'a refusal that says "not run" of a request that ran');
    }
  };

  const feed = (request: Request, event: ClaimEvent): void => {
    if (!request.alive) return;
    claimReducer(request.state, event).effects.forEach((effect) => {
      if (effect.kind === 'answer' || effect.kind === 'refuse') checkOutcome(request, effect);
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

  const stepWrite = (request: Request, effect: StoreWrite, fate: Fate): void => {
    if (fate === 'failed') {
      feed(request, { kind: 'claim-written', nowMs, outcome: { code: 'failed' } });
      return;
    }
    if (fate === 'late') lateWrites.push(effect);
    const code = fate === 'late' ? ('unknown' as const) : applyWrite(effect);
    const known: ClaimWriteOutcome = code === 'ok' ? { code, version } : { code };
    const outcome: ClaimWriteOutcome = fate === 'answer-lost' ? { code: 'unknown' } : known;
    if (effect.kind !== 'store-remove') feed(request, { kind: 'claim-written', nowMs, outcome });
  };

  const sidecarOf = (target: AttemptTarget): Sidecar | undefined => {
    const sidecar = sidecars[Number(target.backend)]!;
    return String(sidecar.incarnation) === target.sidecarIncarnation ? sidecar : undefined;
  };

  const handlers: {
    [K in ClaimEffect['kind']]?: (
      request: Request,
      effect: Extract<ClaimEffect, { kind: K }>,
      fate: Fate,
    ) => void;
  } = {
    'store-read': (request, _, fate) => {
      const found =
        stored === undefined ? { code: 'absent' as const } : { code: 'found' as const, ...stored };
      const outcome = fate === 'ok' ? found : { code: 'failed' as const };
      feed(request, { kind: 'claim-read', nowMs, outcome });
    },
    'store-create': stepWrite,
    'store-update': stepWrite,
    'store-remove': stepWrite,
    'await-slot': (request, _, fate) => {
      if (fate === 'failed') {
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
      const sidecar = sidecarOf(target);
      if (sidecar === undefined || sidecar.journal.has(target.attempt)) {
        feed(request, { kind: 'attempt-ended', nowMs, outcome: { code: 'not-run' } });
        return;
      }
      sidecar.journal.set(target.attempt, 'running');
      const run = { attempt: target.attempt, request, sidecar: Number(target.backend) };
      runs.push(run);
      unfinished.push(run);
      assert.equal(runs.length, 1, 'the operation ran twice');
    },
    'bar-attempt': (request, { target }, fate) => {
      const sidecar = sidecarOf(target);
      const known = sidecar?.journal.get(target.attempt);
      if (sidecar !== undefined && known === undefined)
        sidecar.journal.set(target.attempt, 'barred');
      const answer = sidecar === undefined ? 'unknown-outcome' : (known ?? 'barred');
      const outcome = fate === 'ok' ? answer : 'unreachable';
      feed(request, { kind: 'attempt-asked', nowMs, outcome });
    },
    'fetch-answer': (request, { target }, fate) => {
      const kept = fate === 'ok' && sidecarOf(target)?.journal.get(target.attempt) === 'finished';
      const answer = kept ? answerOf(target.attempt) : undefined;
      feed(request, { kind: 'answer-fetched', nowMs, answer });
    },
  };

  const step = <K extends ClaimEffect['kind']>(
    request: Request,
    effect: Extract<ClaimEffect, { kind: K }>,
    fate: Fate,
  ): void => handlers[effect.kind]?.(request, effect, fate);

  return {
    runs,
    /** Whether an outcome may have been lost for good. */
    mayHaveForgotten: () => restarts > 0 || ages > 0,
    arrive: (): Request => {
      const id = requests.length;
      const routerIncarnation = `router-${id % 2}`;
      const state = createClaimState({ key: KEY, bodyDigest: 'd', routerIncarnation });
      const request: Request = { id, alive: true, state, attempts: [] };
      requests.push(request);
      feed(request, { kind: 'request', nowMs });
      return request;
    },
    advance: () => {
      nowMs += CLAIM_IN_PROGRESS_GRACE_MS + 1;
    },
    /** Lets most of a journal's time pass; attempts that ended before it are forgotten. */
    age: () => {
      ages += 1;
      nowMs += 0.7 * JOURNAL_KEEP_MS;
      sidecars.forEach(({ journal, endedAtMs }) =>
        endedAtMs.forEach((endedMs, attempt) => {
          if (nowMs - endedMs > JOURNAL_KEEP_MS) journal.delete(attempt);
        }),
      );
    },
    /** Takes one pending step, of a request that may have died meanwhile: what was sent still arrives. */
    step: (pick: number, fate: Fate) => {
      const [taken] = pending.splice(pick % Math.max(1, pending.length), 1);
      if (taken !== undefined) step(taken.request, taken.effect, fate);
    },
    pendingCount: () => pending.length,
    applyLateWrite: () => lateWrites.splice(0, 1).forEach(applyWrite),
    finishRun: () =>
      unfinished.splice(0, 1).forEach(({ attempt, request, sidecar }) => {
        sidecars[sidecar]!.journal.set(attempt, 'finished');
        sidecars[sidecar]!.endedAtMs.set(attempt, nowMs);
        const outcome = { code: 'finished' as const, answer: answerOf(attempt) };
        feed(request, { kind: 'attempt-ended', nowMs, outcome });
      }),
    kill: (pick: number) => {
      const request = requests[pick % Math.max(1, requests.length)];
      if (request !== undefined) request.alive = false;
    },
    restartSidecar: (pick: number) => {
      const index = pick % SIDECAR_COUNT;
      restarts += 1;
      sidecars[index] = {
        incarnation: sidecars[index]!.incarnation + 1,
        journal: new Map(),
        endedAtMs: new Map(),
      };
      const lost = unfinished.filter((run) => run.sidecar === index);
      lost.forEach((run) => {
        unfinished.splice(unfinished.indexOf(run), 1);
        feed(run.request, { kind: 'attempt-ended', nowMs, outcome: { code: 'unknown' } });
      });
    },
  };
};

export type ClaimWorld = ReturnType<typeof createClaimWorld>;
