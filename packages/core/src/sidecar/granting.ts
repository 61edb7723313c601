/** Hands free slots to routers: grants while requests wait, credits while none do. */
import type { DemandEntry, Distance } from '../protocol/index.js';
import { canGrant, freeSlots, hasDemand, isDraining } from './slots.js';
import type { RouterView, SidecarEffect, SidecarState } from './types.js';

/** Added to the virtual time of a candidate, by distance, so that near routers win near-ties. In milliseconds of slot time. */
const DISTANCE_PENALTY_MS: Record<Distance, number> = {
  'same-zone': 0,
  'same-region': 1,
  'other-region': 5,
};

interface Candidate {
  router: RouterView;
  entry: DemandEntry;
  score: number;
}

/** Gives grants and credits as far as the free slots go. */
export function handOutSlots(state: SidecarState, nowMs: number): SidecarEffect[] {
  const effects: SidecarEffect[] = [];
  while (canGrant(state)) {
    const candidate = leastServed(state);
    if (!candidate) break;
    effects.push(grantSlot(state, candidate, nowMs));
  }
  effects.push(...updateCredits(state));
  return effects;
}

function leastServed(state: SidecarState): Candidate | null {
  let best: Candidate | null = null;
  state.routers.forEach((router) => {
    if (router.leaving) return;
    router.demand.forEach((entry) => {
      if (entry.waiting <= 0) return;
      const score = entry.virtualTimeMs + DISTANCE_PENALTY_MS[router.distance];
      if (!best || score < best.score) best = { router, entry, score };
    });
  });
  return best;
}

function grantSlot(state: SidecarState, candidate: Candidate, nowMs: number): SidecarEffect {
  const { router, entry } = candidate;
  const { grantTtlMs } = state.options;
  const grant = state.nextGrant;
  state.nextGrant += 1;
  state.grants.set(grant, {
    grant,
    link: router.link,
    account: entry.account,
    estimateMs: entry.estimateMs,
    expiresAtMs: nowMs + grantTtlMs + router.rttMs,
  });
  state.poolVirtualTimeMs = Math.max(state.poolVirtualTimeMs, entry.virtualTimeMs);
  countOwnGrant(state, entry);
  const { poolVirtualTimeMs } = state;
  const message = {
    kind: 'grant' as const,
    grant,
    account: entry.account,
    ttlMs: grantTtlMs,
    poolVirtualTimeMs,
  };
  return { kind: 'send', link: router.link, message };
}

/** Charges the grant to the account at every router at once, before the routers' own reports show it. */
function countOwnGrant(state: SidecarState, granted: DemandEntry): void {
  granted.waiting -= 1;
  state.routers.forEach((router) => {
    const entry = router.demand.get(granted.account);
    if (entry) entry.virtualTimeMs += granted.estimateMs / granted.share;
  });
}

/** Credits are sent as powers of two, so that most changes of the free slots need no message. */
function quantise(free: number): number {
  return free <= 0 ? 0 : 2 ** Math.floor(Math.log2(free));
}

function updateCredits(state: SidecarState): SidecarEffect[] {
  const closed = !state.synced || isDraining(state) || hasDemand(state);
  const credits = closed ? 0 : quantise(freeSlots(state));
  const effects: SidecarEffect[] = [];
  state.routers.forEach((router) => {
    const target = router.leaving ? 0 : credits;
    if (!shouldSendCredits(router.credits, target)) return;
    router.credits = target;
    const { poolVirtualTimeMs } = state;
    const message = { kind: 'credits' as const, credits: target, poolVirtualTimeMs };
    effects.push({ kind: 'send', link: router.link, message });
  });
  return effects;
}

/** Closing and opening is told at once; other changes only when they are fourfold. */
function shouldSendCredits(sent: number, target: number): boolean {
  if (sent === target) return false;
  if (sent === 0 || target === 0) return true;
  return target >= sent * 4 || target * 4 <= sent;
}
