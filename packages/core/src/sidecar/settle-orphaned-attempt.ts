/** Settlement of attempts whose router is no longer linked. */
import type { ActiveAttempt, SidecarEffect, SidecarState } from './types.js';

/**
 * Returns a message to another linked router that corrects the estimate charged by the former router to the slot time used; empty if
 * the former router is still linked or no router can receive it.
 */
export function settleOrphanedAttempt(
  state: SidecarState,
  active: ActiveAttempt,
  nowMs: number,
): SidecarEffect[] {
  const routers = [...state.routers.values()];
  if (routers.some((router) => router.incarnation === active.incarnation)) return [];
  const recipient = routers.find((router) => !router.leaving);
  if (!recipient) return [];
  const usedMs = active.startedAtMs === null ? 0 : Math.round(nowMs - active.startedAtMs);
  const message = {
    kind: 'settle' as const,
    attempt: active.attempt,
    pool: state.options.pool,
    account: active.account,
    chargeMs: Math.max(0, usedMs - active.estimateMs),
    refundMs: Math.max(0, active.estimateMs - usedMs),
  };
  return [{ kind: 'send', link: recipient.link, message }];
}
