/** Settlement of ended attempts. */
import { chargeService, refundService } from '../fairness/index.js';
import { addOutstandingMs } from './queues.js';
import type { RouterAttempt, RouterState } from './types.js';

/** Removes the attempt, returns its credit, and corrects the account's charge to the slot time used in milliseconds. */
export function settleAttempt(state: RouterState, attempt: RouterAttempt, slotMs: number): void {
  const req = state.requests.get(attempt.request);
  state.attempts.delete(attempt.attempt);
  returnCredit(state, attempt);
  if (!req) return;
  addOutstandingMs(state, req.pool, req.account, -attempt.chargedMs);
  const overchargeMs = attempt.chargedMs - Math.round(slotMs);
  if (overchargeMs > 0) refundService(state.ledger, req.pool, req.account, overchargeMs);
  if (overchargeMs < 0) chargeService(state.ledger, req.pool, req.account, -overchargeMs);
}

function returnCredit(state: RouterState, attempt: RouterAttempt): void {
  const sidecar = state.sidecars.get(attempt.link);
  if (!sidecar || attempt.creditEpoch !== sidecar.creditEpoch) return;
  sidecar.creditsUsed = Math.max(0, sidecar.creditsUsed - 1);
}
