/**
 * Reducer of the sidecar, through which all requests to one backend server pass. It admits attempts to slots, grants free slots to the
 * client account with the least virtual time, and maintains the attempt journal.
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
  resolveAttemptOutcome,
  createAttemptJournal,
  expireAttempts,
  isNewAttempt,
  recordAttempt,
} from '../journal/index.js';
import type { Reducer } from '../reducer/index.js';
import type { DemandEntry, LinkMessage } from '../protocol/index.js';
import { allocateSlots } from './granting.js';
import {
  backendConcurrencyLimit,
  freeSlots,
  hasDemand,
  isDraining,
  observeGrantLatency,
  observeSlotTime,
} from './slots.js';
import { settleOrphanedAttempt } from './settle-orphaned-attempt.js';
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

/** Creates the state of a sidecar without links. */
export function createSidecarState(
  options: Partial<SidecarOptions> & Pick<SidecarOptions, 'backend' | 'pool' | 'slots'>,
): SidecarState {
  const resolvedOptions: SidecarOptions = {
    policy: DispatchPolicy.Fair,
    queueAhead: 1,
    correction: Correction.Scaled,
    grantTtlMs: 1000,
    orphanGraceMs: 3000,
    journalKeepMs: 120_000,
    ...options,
  };
  const { correction, slots } = resolvedOptions;
  return {
    options: resolvedOptions,
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
    message.entries.forEach((entry) => applyDemandEntry(state, router, entry, nowMs));
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
    return isDraining(state) ? [leavingEffect(link, true)] : [];
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
    if (typeof offer.grant === 'number') consumeGrant(state, offer.grant, nowMs);
    admitAttempt(state, offer, nowMs);
    return [];
  },

  'attempt-ended': (state, { attempt, ran, nowMs }) => {
    const active = state.active.get(attempt);
    if (!active) return [];
    const effects = settleOrphanedAttempt(state, active, nowMs);
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
    // A cancellation can arrive before its attempt, which must not run afterwards.
    if (isNewAttempt(state.journal, attempt)) {
      recordAttempt(state.journal, attempt, AttemptState.Barred, nowMs);
    }
    return [];
  },

  'outcome-asked': (state, { attempt, queryId, sameIncarnation, nowMs }) => {
    const outcome = resolveAttemptOutcome(state.journal, attempt, sameIncarnation, nowMs);
    return [{ kind: 'tell-outcome', queryId, outcome }];
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
    return updateDraining(state, () => {
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
    updateDraining(state, () => {
      if (!state.stopping) state.lingerUntilMs = nowMs + state.options.grantTtlMs;
      state.stopping = true;
    }),

  tick: (state, { nowMs }) => {
    releaseGrants(state, (granted) => granted.expiresAtMs <= nowMs);
    const expired = expireAttempts(state.journal, nowMs, state.options.journalKeepMs);
    const effects: SidecarEffect[] = expired.map((attempt) => ({
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

/** Applies an event to the sidecar's state, allocates free slots, and returns the resulting effects. */
export const sidecarReducer: Reducer<SidecarState, SidecarEvent, SidecarEffect> = (
  state,
  event,
) => {
  const handle = handlers[event.kind] as (s: SidecarState, e: SidecarEvent) => SidecarEffect[];
  const effects = handle(state, event);
  effects.push(...startStagedAttempts(state, event.nowMs));
  effects.push(...allocateSlots(state, event.nowMs));
  if (canStop(state, event.nowMs)) effects.push({ kind: 'stopped' });
  return { state, effects };
};

/**
 * Returns whether the process can exit. Attempts using grants and credits issued before the shutdown may still be in transit and
 * must receive a refusal rather than a connection error.
 */
function canStop(state: SidecarState, nowMs: number): boolean {
  const isIdle = state.active.size === 0 && state.grants.size === 0;
  return state.stopping && isIdle && nowMs >= state.lingerUntilMs;
}

/** Returns the reason for refusing an offered attempt, or null if it can be admitted. */
function refusalReason(state: SidecarState, offer: AttemptOffer): AttemptRefusalReason | null {
  if (!isNewAttempt(state.journal, offer.attempt)) return AttemptRefusalReason.Barred;
  if (!state.synced) return AttemptRefusalReason.NotReady;
  if (typeof offer.grant === 'number') {
    return isGrantOfRouter(state, offer, offer.grant) ? null : AttemptRefusalReason.LateGrant;
  }
  if (isDraining(state)) return AttemptRefusalReason.Draining;
  if (offer.grant === 'push')
    return state.options.policy === DispatchPolicy.Naive ? null : AttemptRefusalReason.Full;
  return freeSlots(state) > 0 && !hasDemand(state) ? null : AttemptRefusalReason.Full;
}

/**
 * Returns whether the grant was issued to the router that offers the attempt. Grant numbers restart with each sidecar
 * incarnation, so an outdated number may match another router's grant.
 */
function isGrantOfRouter(
  state: SidecarState,
  { incarnation }: AttemptOffer,
  grant: number,
): boolean {
  const link = state.grants.get(grant)?.link;
  return link !== undefined && state.routers.get(link)?.incarnation === incarnation;
}

function admitAttempt(state: SidecarState, offer: AttemptOffer, nowMs: number): void {
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

function applyDemandEntry(
  state: SidecarState,
  router: LinkedRouter,
  entry: DemandEntry,
  nowMs: number,
): void {
  const { account, waiting, virtualTimeMs } = entry;
  if (waiting > 0) {
    router.demand.set(account, entry);
    // A grant that was in transit while the report was sent counts as included in it: at worst, one surplus grant is issued and declined.
    // If it stayed pending after the router had used it, a request would wait although a slot is free.
    const report = { router: router.link, account, virtualTimeMs };
    recordVirtualTimeReport(state.order, report, nowMs);
    return;
  }
  router.demand.delete(account);
  const hasDemandElsewhere = [...state.routers.values()].some(({ demand }) => demand.has(account));
  if (!hasDemandElsewhere) removeScheduledAccount(state.order, account);
}

function consumeGrant(state: SidecarState, grant: number, nowMs: number): void {
  const granted = state.grants.get(grant);
  if (!granted) return;
  state.grants.delete(grant);
  observeGrantLatency(state, nowMs - granted.grantedAtMs);
}

function startStagedAttempts(state: SidecarState, nowMs: number): SidecarEffect[] {
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

/** Ends a staged attempt immediately; a running one keeps its slot until the backend server has ended it. */
function cancelAttempt(state: SidecarState, active: ActiveAttempt, nowMs: number): SidecarEffect[] {
  if (active.startedAtMs !== null) return [{ kind: 'cancel', attempt: active.attempt }];
  const effects = settleOrphanedAttempt(state, active, nowMs);
  endAttempt(state, active, AttemptState.Barred, nowMs);
  effects.push({ kind: 'refuse', attempt: active.attempt, reason: AttemptRefusalReason.Cancelled });
  return effects;
}

function releaseGrants(
  state: SidecarState,
  shouldRelease: (granted: GrantedSlot) => boolean,
): void {
  state.grants.forEach((granted, grant) => {
    if (!shouldRelease(granted)) return;
    state.grants.delete(grant);
    removePendingGrant(state.order, granted.link, granted.account);
  });
}

function leavingEffect(link: string, leaving: boolean): SidecarEffect {
  return { kind: 'send', link, message: { kind: 'leaving', leaving } };
}

/** Changes the drain flags and notifies all routers if the drain state changed. */
function updateDraining(state: SidecarState, change: () => void): SidecarEffect[] {
  const wasDraining = isDraining(state);
  change();
  const isNowDraining = isDraining(state);
  if (wasDraining === isNowDraining) return [];
  return [...state.routers.keys()].map((link) => leavingEffect(link, isNowDraining));
}
