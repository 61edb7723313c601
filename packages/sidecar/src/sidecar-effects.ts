/** Runs the effects of the sidecar's reducer. */
import type { LinkMessage, SidecarEffect, SidecarEvent } from '@kingcupsill/core';

import { AnswerEnd } from './answer/types.js';
import type { AttemptRegistry, HeldAttempt } from './attempts/types.js';
import type { BackendClient } from './backend/types.js';
import { RunEnd } from './backend/types.js';

/** What the effect handlers need. */
export interface SidecarEffectsOptions {
  registry: AttemptRegistry;
  backend: BackendClient;
  clock(): number;
  dispatch(event: SidecarEvent): void;
  sendTo(link: string, message: LinkMessage): void;
  onStopped(): void;
}

type EffectOf<K extends SidecarEffect['kind']> = Extract<SidecarEffect, { kind: K }>;

/** Lookup table of effect handlers. */
export type SidecarEffectHandlers = {
  [K in SidecarEffect['kind']]: (effect: EffectOf<K>) => void | Promise<void>;
};

/** Creates the lookup table of effect handlers. */
export function createSidecarEffects(options: SidecarEffectsOptions): SidecarEffectHandlers {
  const { registry, backend, clock, dispatch, sendTo, onStopped } = options;

  async function run(held: HeldAttempt): Promise<void> {
    const { attempt } = held.req;
    held.startedAtMs = clock();
    const running = backend.run(held.req, held.answer);
    await held.answer.head();
    if (held.answer.end() === null) held.decide();
    const end = await running;
    const nowMs = clock();
    held.slotMs = nowMs - held.startedAtMs;
    if (end === RunEnd.NotRun) held.refused = 'backend-refused';
    held.decide();
    held.release();
    dispatch({ kind: 'attempt-ended', nowMs, attempt, ran: end !== RunEnd.NotRun });
    if (end === RunEnd.NotRun) dispatch({ kind: 'backend-lost', nowMs });
  }

  return {
    send: ({ link, message }) => sendTo(link, message),
    run: ({ attempt }) => {
      const held = registry.get(attempt);
      return held ? run(held) : undefined;
    },
    refuse: ({ attempt, reason }) => {
      const held = registry.get(attempt);
      if (!held) return;
      held.refused = reason;
      held.decide();
      held.release();
    },
    cancel: ({ attempt }) => {
      // A run that waits for a reader of its answer would not notice the abort.
      registry.get(attempt)?.answer.finish(AnswerEnd.Broken);
      return backend.cancel(attempt);
    },
    'tell-outcome': ({ ask, outcome }) => registry.tell(ask, outcome),
    'forget-answer': ({ attempt }) => registry.remove(attempt),
    stopped: onStopped,
  };
}
