/** Settles what an attempt was charged and the credit that paid for it. */
import { chargeService, refundService } from '../fairness/index.js';
import { addOutstanding } from './queues.js';
import type { RouterAttempt, RouterState } from './types.js';

/** Corrects the account's charge to the slot time used and forgets the attempt. */
export function settleAttempt(state: RouterState, attempt: RouterAttempt, slotMs: number): void {
  const req = state.requests.get(attempt.request);
  state.attempts.delete(attempt.attempt);
  returnCredit(state, attempt);
  if (!req) return;
  addOutstanding(state, req.pool, req.account, -attempt.chargedMs);
  const excessMs = attempt.chargedMs - Math.round(slotMs);
  if (excessMs > 0) refundService(state.ledger, req.pool, req.account, excessMs);
  if (excessMs < 0) chargeService(state.ledger, req.pool, req.account, -excessMs);
}

function returnCredit(state: RouterState, attempt: RouterAttempt): void {
  const sidecar = state.sidecars.get(attempt.link);
  if (!sidecar || attempt.creditEpoch !== sidecar.creditEpoch) return;
  sidecar.creditsUsed = Math.max(0, sidecar.creditsUsed - 1);
}
