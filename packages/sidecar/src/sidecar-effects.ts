/** Effect handlers of the sidecar process. */
import type { SidecarProcessEffect, SidecarProcessEvent } from '@kingcupsill/core';
import { syncLinks } from '@kingcupsill/fleet';
import type { EffectHandlers, Logger } from '@kingcupsill/runtime';

import { ResponseEnd } from './response/types.js';
import type { AttemptEntry } from './attempts/types.js';
import { RunEnd } from './backend/types.js';
import type { SidecarParts } from './types.js';

/** Dependencies of the effect handlers. */
export interface SidecarEffectsOptions {
  parts: SidecarParts;
  /** Current monotonic time in milliseconds. */
  clock(): number;
  logger: Logger;
}

/** Creates the handlers, keyed by effect kind. */
export function createSidecarEffects(
  options: SidecarEffectsOptions,
): EffectHandlers<SidecarProcessEvent, SidecarProcessEffect> {
  const { parts, clock, logger } = options;
  return {
    send: ({ link, message }) => parts.linkRegistry.send(link, message),
    'keep-links': ({ addresses }) => syncLinks(parts.dialer, addresses, logger),
    'poll-store': (effect) => parts.configPoller.poll(effect),
    'config-in-force': ({ config }) => logger.info('config-in-force', { version: config.version }),
    run: ({ attempt }) => {
      const entry = parts.attempts.get(attempt);
      return entry ? runAttempt(parts, clock, entry) : undefined;
    },
    refuse: ({ attempt, reason }) => {
      const entry = parts.attempts.get(attempt);
      if (!entry) return;
      entry.refusal = reason;
      entry.decide();
      entry.release();
    },
    cancel: ({ attempt }) => {
      // Finishing the response releases a run that is blocked by backpressure and can't react to the abort.
      parts.attempts.get(attempt)?.response.finish(ResponseEnd.Broken);
      return parts.backend.cancel(attempt);
    },
    'tell-outcome': ({ queryId, outcome }) => parts.attempts.resolveOutcomeQuery(queryId, outcome),
    'forget-answer': ({ attempt }) => parts.attempts.remove(attempt),
    stopped: () => parts.stopped.resolve(),
  };
}

/** Runs an attempt at the backend server and dispatches its end. */
async function runAttempt(
  parts: SidecarParts,
  clock: () => number,
  entry: AttemptEntry,
): Promise<void> {
  const { attempt } = entry.req;
  const startedAtMs = clock();
  const runEnd = parts.backend.run(entry.req, entry.response);
  await entry.response.waitForHead();
  if (entry.response.end() === null) entry.decide();
  const end = await runEnd;
  const nowMs = clock();
  entry.slotMs = nowMs - startedAtMs;
  if (end === RunEnd.NotRun) entry.refusal = 'backend-refused';
  entry.decide();
  entry.release();
  parts.loop.dispatch({ kind: 'attempt-ended', nowMs, attempt, ran: end !== RunEnd.NotRun });
  if (end === RunEnd.NotRun) parts.loop.dispatch({ kind: 'backend-lost', nowMs });
}
