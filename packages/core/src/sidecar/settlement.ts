/** Settles the charge of attempts whose router has gone, through any router that is still linked. */
import type { ActiveAttempt, SidecarEffect, SidecarState } from './types.js';

/** Returns the message that corrects the dead router's estimate to the slot time used, if a router can take it. */
export function settleOrphan(
  state: SidecarState,
  active: ActiveAttempt,
  nowMs: number,
): SidecarEffect[] {
  const routers = [...state.routers.values()];
  if (routers.some((router) => router.incarnation === active.incarnation)) return [];
  const heir = routers.find((router) => !router.leaving);
  if (!heir) return [];
  const usedMs = active.startedAtMs === null ? 0 : Math.round(nowMs - active.startedAtMs);
  const message = {
    kind: 'settle' as const,
    attempt: active.attempt,
    pool: state.options.pool,
    account: active.account,
    chargeMs: Math.max(0, usedMs - active.estimateMs),
    refundMs: Math.max(0, active.estimateMs - usedMs),
  };
  return [{ kind: 'send', link: heir.link, message }];
}
