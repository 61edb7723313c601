/** Runs the effects of the router's reducer. */
import type { LinkMessage, RouterEffect } from '@kingcupsill/core';

import { breakAnswer, sendError } from './callers/errors.js';
import type { HeldRequest } from './callers/types.js';
import type { Relay } from './relay/types.js';

/** What the effect handlers need. */
export interface RouterEffectsOptions {
  relay: Relay;
  sendTo(link: string, message: LinkMessage): void;
  held(request: string): HeldRequest | undefined;
  onStopped(): void;
}

type EffectOf<K extends RouterEffect['kind']> = Extract<RouterEffect, { kind: K }>;

/** Lookup table of effect handlers. */
export type RouterEffectHandlers = {
  [K in RouterEffect['kind']]: (effect: EffectOf<K>) => void | Promise<void>;
};

/** Creates the lookup table of effect handlers. */
export function createRouterEffects(options: RouterEffectsOptions): RouterEffectHandlers {
  const { relay, sendTo, held, onStopped } = options;
  return {
    send: ({ link, message }) => sendTo(link, message),
    dispatch: (effect) => relay.dispatch(effect),
    resume: (effect) => relay.resume(effect),
    'ask-outcome': (effect) => relay.askOutcome(effect),
    cancel: (effect) => relay.cancel(effect),
    refuse({ request, code, ran, retryAfterMs }) {
      const refused = held(request);
      if (!refused) return;
      if (refused.headRelayed) breakAnswer(refused.res, code, ran);
      else sendError(refused.res, code, ran, retryAfterMs);
    },
    stopped: onStopped,
  };
}
