/**
 * Reducer of the sidecar: sole way to one backend server. It admits attempts into slots, grants free slots to the client
 * account of least virtual time, and keeps the attempt journal.
 */
import {
  Correction,
  createGrantScheduler,
  recordVirtualTimeReport,
  removeGrantsToRouter,
  removePendingGrant,
  removeScheduledAccount,
} from '../fairness/index.js';
import {
  AttemptState,
  askOutcome,
  createAttemptJournal,
  expireAttempts,
  isNewAttempt,
  recordAttempt,
} from '../journal/index.js';
import type { Reducer } from '../loop/index.js';
import type { DemandEntry, LinkMessage } from '../protocol/index.js';
import { handOutSlots } from './granting.js';
import {
  freeSlots,
  hasDemand,
  isDraining,
  observeGrantLatency,
  observeSlotTime,
  backendConcurrencyLimit,
} from './slots.js';
import { settleOrphan } from './settlement.js';
import { AttemptRefusalReason, DispatchPolicy } from './types.js';
import type {
  ActiveAttempt,
  AttemptOffer,
  GrantedSlot,
  LinkedRouter,
  SidecarEffect,
  SidecarEvent,
  SidecarOptions,
  SidecarState,
} from './types.js';

type EventOf<K extends SidecarEvent['kind']> = Extract<SidecarEvent, { kind: K }>;
type MessageOf<K extends LinkMessage['kind']> = Extract<LinkMessage, { kind: K }>;
type Handlers = {
  [K in SidecarEvent['kind']]: (state: SidecarState, event: EventOf<K>) => SidecarEffect[];
};

/** Creates the state of a sidecar that has heard of nobody yet. */
export function createSidecarState(
  options: Partial<SidecarOptions> & Pick<SidecarOptions, 'backend' | 'pool' | 'slots'>,
): SidecarState {
  const filled: SidecarOptions = {
    policy: DispatchPolicy.Fair,
    queueAhead: 1,
    correction: Correction.Scaled,
    grantTtlMs: 1000,
    orphanGraceMs: 3000,
    journalKeepMs: 120_000,
    ...options,
  };
  const { correction, slots } = filled;
  return {
    options: filled,
    routers: new Map(),
    grants: new Map(),
    order: createGrantScheduler({ correction, ownSlots: slots, fleetSlots: slots }),
    staged: [],
    active: new Map(),
    running: 0,
    journal: createAttemptJournal(),
    poolVirtualTimeMs: 0,
    meanSlotMs: 0,
    grantLatencyMs: 0,
    nextGrant: 1,
    stopping: false,
    lingerUntilMs: 0,
    drained: false,
    synced: false,
  };
}

const messageHandlers: {
  [K in LinkMessage['kind']]?: (
    state: SidecarState,
    link: string,
    message: MessageOf<K>,
    nowMs: number,
  ) => void;
} = {
  demand: (state, link, message, nowMs) => {
    const router = state.routers.get(link);
    if (!router) return;
    if (message.full) router.demand.clear();
    message.entries.forEach((entry) => noteDemand(state, router, entry, nowMs));
    state.poolVirtualTimeMs = Math.max(state.poolVirtualTimeMs, message.poolVirtualTimeMs);
  },

  decline: (state, link, message) => {
    const granted = state.grants.get(message.grant);
    if (!granted || granted.link !== link) return;
    state.grants.delete(message.grant);
    removePendingGrant(state.order, link, granted.account);
    state.routers.get(link)?.demand.delete(granted.account);
  },

  leaving: (state, link, message) => {
    const router = state.routers.get(link);
    if (!router) return;
    router.leaving = message.leaving;
    if (router.leaving) router.demand.clear();
  },
};

const handlers: Handlers = {
  'link-opened': (state, { link, router, incarnation, distance }) => {
    state.routers.set(link, {
      link,
      router,
      incarnation,
      distance,
      rttMs: 0,
      leaving: false,
      demand: new Map(),
      credits: 0,
    });
    return isDraining(state) ? [leavingTo(link, true)] : [];
  },

  'link-closed': (state, { link }) => {
    state.routers.delete(link);
    removeGrantsToRouter(state.order, link);
    releaseGrants(state, (granted) => granted.link === link);
    return [];
  },

  message: (state, { link, message, nowMs }) => {
    const router = state.routers.get(link);
    const handle = messageHandlers[message.kind] as
      ((s: SidecarState, l: string, m: LinkMessage, n: number) => void) | undefined;
    if (router && handle) handle(state, link, message, nowMs);
    return [];
  },

  'attempt-offered': (state, { offer, nowMs }) => {
    const reason = refusalReason(state, offer);
    if (reason) {
      if (isNewAttempt(state.journal, offer.attempt)) {
        recordAttempt(state.journal, offer.attempt, AttemptState.Barred, nowMs);
      }
      return [{ kind: 'refuse', attempt: offer.attempt, reason }];
    }
    if (typeof offer.grant === 'number') useGrant(state, offer.grant, nowMs);
    admit(state, offer, nowMs);
    return [];
  },

  'attempt-ended': (state, { attempt, ran, nowMs }) => {
    const active = state.active.get(attempt);
    if (!active) return [];
    const effects = settleOrphan(state, active, nowMs);
    endAttempt(state, active, ran ? AttemptState.Finished : AttemptState.Barred, nowMs);
    return effects;
  },

  'attempt-orphaned': (state, { attempt, nowMs }) => {
    const active = state.active.get(attempt);
    if (active) active.orphanedAtMs = nowMs;
    return [];
  },

  'attempt-resumed': (state, { attempt }) => {
    const active = state.active.get(attempt);
    if (active) active.orphanedAtMs = null;
    return [];
  },

  'attempt-cancelled': (state, { attempt, nowMs }) => {
    const active = state.active.get(attempt);
    if (active) return cancelAttempt(state, active, nowMs);
    // The cancellation may overtake the attempt, which must not run afterwards.
    if (isNewAttempt(state.journal, attempt)) {
      recordAttempt(state.journal, attempt, AttemptState.Barred, nowMs);
    }
    return [];
  },

  'outcome-asked': (state, { attempt, queryId: ask, sameIncarnation, nowMs }) => {
    const outcome = askOutcome(state.journal, attempt, sameIncarnation, nowMs);
    return [{ kind: 'tell-outcome', queryId: ask, outcome }];
  },

  'round-trips': (state, { roundTrips }) => {
    roundTrips.forEach(({ link, rttMs }) => {
      const router = state.routers.get(link);
      if (router) router.rttMs = rttMs;
    });
    return [];
  },

  configured: (state, { pool, slots, fleetSlots, draining }) => {
    state.options.pool = pool;
    state.options.slots = slots;
    Object.assign(state.order.options, { ownSlots: slots, fleetSlots });
    return changeDraining(state, () => {
      state.drained = draining;
    });
  },

  'backend-synced': (state) => {
    state.synced = true;
    return [];
  },

  'backend-lost': (state) => {
    state.synced = false;
    return [];
  },

  stop: (state, { nowMs }) =>
    changeDraining(state, () => {
      if (!state.stopping) state.lingerUntilMs = nowMs + state.options.grantTtlMs;
      state.stopping = true;
    }),

  tick: (state, { nowMs }) => {
    releaseGrants(state, (granted) => granted.expiresAtMs <= nowMs);
    const forgotten = expireAttempts(state.journal, nowMs, state.options.journalKeepMs);
    const effects: SidecarEffect[] = forgotten.map((attempt) => ({
      kind: 'forget-answer',
      attempt,
    }));
    [...state.active.values()].forEach((active) => {
      if (active.orphanedAtMs === null) return;
      if (nowMs - active.orphanedAtMs < state.options.orphanGraceMs) return;
      effects.push(...cancelAttempt(state, active, nowMs));
    });
    return effects;
  },
};

/** Applies one event. */
export const sidecarReducer: Reducer<SidecarState, SidecarEvent, SidecarEffect> = (
  state,
  event,
) => {
  const handle = handlers[event.kind] as (s: SidecarState, e: SidecarEvent) => SidecarEffect[];
  const effects = handle(state, event);
  effects.push(...startStaged(state, event.nowMs));
  effects.push(...handOutSlots(state, event.nowMs));
  if (hasStopped(state, event.nowMs)) effects.push({ kind: 'stopped' });
  return { state, effects };
};

/** Attempts on grants and credits given before the stop may still be on their way: they must meet a refusal, not a closed port. */
function hasStopped(state: SidecarState, nowMs: number): boolean {
  const isIdle = state.active.size === 0 && state.grants.size === 0;
  return state.stopping && isIdle && nowMs >= state.lingerUntilMs;
}

function refusalReason(state: SidecarState, offer: AttemptOffer): AttemptRefusalReason | null {
  if (!isNewAttempt(state.journal, offer.attempt)) return AttemptRefusalReason.Barred;
  if (!state.synced) return AttemptRefusalReason.NotReady;
  if (typeof offer.grant === 'number') {
    return isOwnGrant(state, offer, offer.grant) ? null : AttemptRefusalReason.LateGrant;
  }
  if (isDraining(state)) return AttemptRefusalReason.Draining;
  if (offer.grant === 'push')
    return state.options.policy === DispatchPolicy.Naive ? null : AttemptRefusalReason.Full;
  return freeSlots(state) > 0 && !hasDemand(state) ? null : AttemptRefusalReason.Full;
}

/** Grant numbers start again with each sidecar incarnation, so a late one may name another router's grant. */
function isOwnGrant(state: SidecarState, { incarnation }: AttemptOffer, grant: number): boolean {
  const link = state.grants.get(grant)?.link;
  return link !== undefined && state.routers.get(link)?.incarnation === incarnation;
}

function admit(state: SidecarState, offer: AttemptOffer, nowMs: number): void {
  recordAttempt(state.journal, offer.attempt, AttemptState.Staged, nowMs);
  state.staged.push(offer.attempt);
  state.active.set(offer.attempt, {
    attempt: offer.attempt,
    account: offer.account,
    incarnation: offer.incarnation,
    estimateMs: offer.estimateMs,
    startedAtMs: null,
    orphanedAtMs: null,
  });
}

function noteDemand(
  state: SidecarState,
  router: LinkedRouter,
  entry: DemandEntry,
  nowMs: number,
): void {
  const { account, waiting, virtualTimeMs } = entry;
  if (waiting > 0) {
    router.demand.set(account, entry);
    // A grant that crossed the report counts as contained in it: at worst one more grant than requests is given and declined. To
    // keep it as pending after the router has used it would leave a request waiting beside a free slot.
    const report = { router: router.link, account, virtualTimeMs };
    recordVirtualTimeReport(state.order, report, nowMs);
    return;
  }
  router.demand.delete(account);
  const waitsElsewhere = [...state.routers.values()].some(({ demand }) => demand.has(account));
  if (!waitsElsewhere) removeScheduledAccount(state.order, account);
}

function useGrant(state: SidecarState, grant: number, nowMs: number): void {
  const granted = state.grants.get(grant);
  if (!granted) return;
  state.grants.delete(grant);
  observeGrantLatency(state, nowMs - granted.grantedAtMs);
}

function startStaged(state: SidecarState, nowMs: number): SidecarEffect[] {
  const effects: SidecarEffect[] = [];
  while (state.running < backendConcurrencyLimit(state) && state.staged.length > 0) {
    const attempt = state.staged.shift() as string;
    const active = state.active.get(attempt) as ActiveAttempt;
    active.startedAtMs = nowMs;
    state.running += 1;
    recordAttempt(state.journal, attempt, AttemptState.Running, nowMs);
    effects.push({ kind: 'run', attempt });
  }
  return effects;
}

function endAttempt(
  state: SidecarState,
  active: ActiveAttempt,
  finalState: AttemptState,
  nowMs: number,
): void {
  state.active.delete(active.attempt);
  recordAttempt(state.journal, active.attempt, finalState, nowMs);
  if (active.startedAtMs === null) {
    state.staged = state.staged.filter((attempt) => attempt !== active.attempt);
    return;
  }
  state.running -= 1;
  observeSlotTime(state, nowMs - active.startedAtMs);
}

/** A staged attempt ends at once; a running one keeps its slot until the backend server has let go of it. */
function cancelAttempt(state: SidecarState, active: ActiveAttempt, nowMs: number): SidecarEffect[] {
  if (active.startedAtMs !== null) return [{ kind: 'cancel', attempt: active.attempt }];
  const effects = settleOrphan(state, active, nowMs);
  endAttempt(state, active, AttemptState.Barred, nowMs);
  effects.push({ kind: 'refuse', attempt: active.attempt, reason: AttemptRefusalReason.Cancelled });
  return effects;
}

function releaseGrants(state: SidecarState, isOver: (granted: GrantedSlot) => boolean): void {
  state.grants.forEach((granted, grant) => {
    if (!isOver(granted)) return;
    state.grants.delete(grant);
    removePendingGrant(state.order, granted.link, granted.account);
  });
}

function leavingTo(link: string, leaving: boolean): SidecarEffect {
  return { kind: 'send', link, message: { kind: 'leaving', leaving } };
}

/** Applies a change of the drain flags and tells all routers when the outcome differs. */
function changeDraining(state: SidecarState, change: () => void): SidecarEffect[] {
  const before = isDraining(state);
  change();
  const after = isDraining(state);
  if (before === after) return [];
  return [...state.routers.keys()].map((link) => leavingTo(link, after));
}
