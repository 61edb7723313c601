/** Allocation of free slots to routers: grants while requests wait, credits while slots are free. */
import { chooseGrant, recordGrant } from '../fairness/index.js';
import type { GrantCandidate } from '../fairness/index.js';
import type { DemandEntry } from '../protocol/index.js';
import { canGrant, freeSlots, isDraining } from './slots.js';
import type { LinkedRouter, SidecarEffect, SidecarState } from './types.js';

/** Issues grants while capacity and demand last, then updates the credits of all routers. */
export function allocateSlots(state: SidecarState, nowMs: number): SidecarEffect[] {
  const effects: SidecarEffect[] = [];
  while (canGrant(state)) {
    const chosen = chooseGrant(state.order, grantCandidates(state), nowMs);
    if (!chosen) break;
    effects.push(grantSlot(state, chosen, nowMs));
  }
  effects.push(...updateCredits(state));
  return effects;
}

function grantCandidates(state: SidecarState): GrantCandidate[] {
  return [...state.routers.values()]
    .filter((router) => !router.leaving)
    .flatMap((router) => [...router.demand.values()].map((entry) => toCandidate(router, entry)));
}

function toCandidate({ link, distance }: LinkedRouter, entry: DemandEntry): GrantCandidate {
  const { account, virtualTimeMs, waiting } = entry;
  return {
    router: link,
    account,
    virtualTimeMs,
    waiting,
    oldestWaitMs: 0,
    distance,
    prefixHit: false,
  };
}

function grantSlot(state: SidecarState, chosen: GrantCandidate, nowMs: number): SidecarEffect {
  const { router: link, account } = chosen;
  const { rttMs, demand } = state.routers.get(link) as LinkedRouter;
  const { estimateMs, share } = demand.get(account) as DemandEntry;
  const { grantTtlMs: ttlMs } = state.options;
  const grant = state.nextGrant;
  state.nextGrant += 1;
  const expiresAtMs = nowMs + ttlMs + rttMs;
  state.grants.set(grant, { grant, link, account, estimateMs, grantedAtMs: nowMs, expiresAtMs });
  recordGrant(state.order, { router: link, account, estimateMs, share }, nowMs);
  const { poolVirtualTimeMs } = state;
  const message = { kind: 'grant' as const, grant, account, ttlMs, poolVirtualTimeMs };
  return { kind: 'send', link, message };
}

/** Minimum fraction of free slots at which credits are issued again after all slots were taken. */
const MIN_REOPEN_FRACTION = 0.25;

/** Rounds the credits down to a power of two, so that most changes in the number of free slots need no message. */
function roundDownToPowerOfTwo(freeCount: number): number {
  return freeCount <= 0 ? 0 : 2 ** Math.floor(Math.log2(freeCount));
}

function updateCredits(state: SidecarState): SidecarEffect[] {
  const isUnavailable = !state.synced || isDraining(state);
  const freeCount = isUnavailable ? 0 : freeSlots(state);
  const effects: SidecarEffect[] = [];
  state.routers.forEach((router) => {
    const targetCredits = router.leaving ? 0 : roundDownToPowerOfTwo(freeCount);
    if (!shouldSendCredits(router.credits, targetCredits, state.options.slots)) return;
    router.credits = targetCredits;
    const { poolVirtualTimeMs } = state;
    const message = { kind: 'credits' as const, credits: targetCredits, poolVirtualTimeMs };
    effects.push({ kind: 'send', link: router.link, message });
  });
  return effects;
}

/** Returns whether a change of credits is sent: a drop to zero always, other changes only if large, to limit the number of messages. */
function shouldSendCredits(sentCredits: number, targetCredits: number, slots: number): boolean {
  if (sentCredits === targetCredits) return false;
  if (targetCredits === 0) return true;
  if (sentCredits === 0) return targetCredits >= slots * MIN_REOPEN_FRACTION;
  return targetCredits >= sentCredits * 4 || targetCredits * 4 <= sentCredits;
}
