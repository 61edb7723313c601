/** Runs the effects of the sidecar process. */
import type { SidecarProcessEffect, SidecarProcessEvent } from '@kingcupsill/core';
import { syncLinks } from '@kingcupsill/fleet';
import type { EffectHandlers, Logger } from '@kingcupsill/runtime';

import { ResponseEnd } from './response/types.js';
import type { AttemptEntry } from './attempts/types.js';
import { RunEnd } from './backend/types.js';
import type { SidecarParts } from './types.js';

/** What the effect handlers need. */
export interface SidecarEffectsOptions {
  parts: SidecarParts;
  clock(): number;
  logger: Logger;
}

/** Creates the lookup table of effect handlers. */
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
      const held = parts.attempts.get(attempt);
      return held ? run(parts, clock, held) : undefined;
    },
    refuse: ({ attempt, reason }) => {
      const held = parts.attempts.get(attempt);
      if (!held) return;
      held.refusal = reason;
      held.decide();
      held.release();
    },
    cancel: ({ attempt }) => {
      // A run that waits for a reader of its answer would not notice the abort.
      parts.attempts.get(attempt)?.response.finish(ResponseEnd.Broken);
      return parts.backend.cancel(attempt);
    },
    'tell-outcome': ({ queryId, outcome }) => parts.attempts.resolveOutcomeQuery(queryId, outcome),
    'forget-answer': ({ attempt }) => parts.attempts.remove(attempt),
    stopped: () => parts.stopped.resolve(),
  };
}

/** Runs an attempt at the backend server and reports its end. */
async function run(parts: SidecarParts, clock: () => number, held: AttemptEntry): Promise<void> {
  const { attempt } = held.req;
  const startedAtMs = clock();
  const running = parts.backend.run(held.req, held.response);
  await held.response.waitForHead();
  if (held.response.end() === null) held.decide();
  const end = await running;
  const nowMs = clock();
  held.slotMs = nowMs - startedAtMs;
  if (end === RunEnd.NotRun) held.refusal = 'backend-refused';
  held.decide();
  held.release();
  parts.loop.dispatch({ kind: 'attempt-ended', nowMs, attempt, ran: end !== RunEnd.NotRun });
  if (end === RunEnd.NotRun) parts.loop.dispatch({ kind: 'backend-lost', nowMs });
}
