/** Hands free slots to routers: grants while requests wait, credits while slots are free. */
import { chooseGrant, recordGrant } from '../fairness/index.js';
import type { GrantCandidate } from '../fairness/index.js';
import type { DemandEntry } from '../protocol/index.js';
import { canGrant, freeSlots, isDraining } from './slots.js';
import type { LinkedRouter, SidecarEffect, SidecarState } from './types.js';

/** Gives grants and credits as far as the slots go. */
export function handOutSlots(state: SidecarState, nowMs: number): SidecarEffect[] {
  const effects: SidecarEffect[] = [];
  while (canGrant(state)) {
    const chosen = chooseGrant(state.order, candidates(state), nowMs);
    if (!chosen) break;
    effects.push(grantSlot(state, chosen, nowMs));
  }
  effects.push(...updateCredits(state));
  return effects;
}

function candidates(state: SidecarState): GrantCandidate[] {
  return [...state.routers.values()]
    .filter((router) => !router.leaving)
    .flatMap((router) => [...router.demand.values()].map((entry) => candidate(router, entry)));
}

function candidate({ link, distance }: LinkedRouter, entry: DemandEntry): GrantCandidate {
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

/** Part of the slots that must be free before a sidecar that is full hands out credits again. */
const REOPEN_PART = 0.25;

/** Credits are sent as powers of two, so that most changes of the free slots need no message. */
function quantise(free: number): number {
  return free <= 0 ? 0 : 2 ** Math.floor(Math.log2(free));
}

function updateCredits(state: SidecarState): SidecarEffect[] {
  const isClosed = !state.synced || isDraining(state);
  const free = isClosed ? 0 : freeSlots(state);
  const effects: SidecarEffect[] = [];
  state.routers.forEach((router) => {
    const target = router.leaving ? 0 : quantise(free);
    if (!shouldSendCredits(router.credits, target, state.options.slots)) return;
    router.credits = target;
    const { poolVirtualTimeMs } = state;
    const message = { kind: 'credits' as const, credits: target, poolVirtualTimeMs };
    effects.push({ kind: 'send', link: router.link, message });
  });
  return effects;
}

/** That no slot is free is told at once; other changes only when they are large, so that few messages are needed. */
function shouldSendCredits(sent: number, target: number, slots: number): boolean {
  if (sent === target) return false;
  if (target === 0) return true;
  if (sent === 0) return target >= slots * REOPEN_PART;
  return target >= sent * 4 || target * 4 <= sent;
}
