/** Drain of the router: the end of its work within the grace period. */
import { wait } from '@kingcupsill/runtime';
import type { EdgeContext } from './context.js';
import type { EdgeParts } from './types.js';

/** Time after SIGTERM in which new connections still arrive: until two readiness checks, one second apart, have failed. */
const DRAIN_LISTEN_MS = 3000;
/** Part of the grace period after the end of the drain: time to send the final answers, and to exit. */
const EXIT_MARGIN_MS = 400;
/** Maximum time to send the final answers. */
const FINAL_ANSWERS_MS = 250;
/** Maximum time to accept the connections that wait when the router stops listening. */
const MAX_ACCEPT_MS = 200;
const ACCEPT_POLL_MS = 10;
/** Time in which the first requests arrive on connections that were accepted just before the router stopped listening. */
const FIRST_REQUEST_MS = 300;
const DRAIN_POLL_MS = 50;

type DrainParts = Pick<
  EdgeParts,
  'phase' | 'loop' | 'callers' | 'acceptQueue' | 'requestHandlers' | 'registration'
>;

/**
 * Fails readiness checks at once, accepts connections until the platform sends none, then waits for the open requests. Those that are
 * still open at the end of the drain get a final answer.
 */
export async function drain(ctx: EdgeContext, parts: DrainParts): Promise<void> {
  const { clock, logger } = ctx;
  const endsAtMs = clock() + ctx.settings().shutdown.graceS * 1000 - EXIT_MARGIN_MS;
  parts.phase.draining = true;
  parts.loop.dispatch({ kind: 'drain-started', endsAtMs, nowMs: clock() });
  const callers = await parts.callers;
  const { openRequestCount, unusedConnectionCount, keptConnectionCount } = callers;

  async function waitWhile(condition: () => boolean, untilMs: number): Promise<void> {
    while (condition() && clock() < untilMs) await wait(Math.min(DRAIN_POLL_MS, untilMs - clock()));
  }

  callers.startDrain();
  const deregistered = parts.registration.remove();
  await waitWhile(() => true, Math.min(clock() + DRAIN_LISTEN_MS, endsAtMs));
  const acceptedByMs = Math.min(clock() + MAX_ACCEPT_MS, endsAtMs);
  // If the event loop is late, this timer runs before waiting connections are accepted.
  do await wait(ACCEPT_POLL_MS);
  while (parts.acceptQueue.waitMs() > 0 && clock() < acceptedByMs);
  await callers.stopListening();
  const firstRequestsByMs = Math.min(clock() + FIRST_REQUEST_MS, endsAtMs);
  await waitWhile(() => unusedConnectionCount() > 0, firstRequestsByMs);
  await waitWhile(() => openRequestCount() + keptConnectionCount() > 0, endsAtMs);
  const refused = openRequestCount();
  parts.loop.dispatch({ kind: 'drain-ended', nowMs: clock() });
  parts.requestHandlers.refusePending();
  await waitWhile(() => openRequestCount() > 0, endsAtMs + FINAL_ANSWERS_MS);
  logger.info('drain-ended', { refused, open: openRequestCount() });
  await deregistered;
}
