/** Runs the effects of the router process. */
import type { RouterProcessEffect, RouterProcessEvent } from '@kingcupsill/core';
import { syncLinks } from '@kingcupsill/fleet';
import type { EffectHandlers, Logger } from '@kingcupsill/runtime';

import { abortResponse, sendError } from './callers/errors.js';
import { createConfigIndex } from './config-index/config-index.js';
import { replayResponse } from './relay/recorded-response.js';
import type { RouterParts } from './types.js';

/** What the effect handlers need. */
export interface RouterEffectsOptions {
  parts: RouterParts;
  logger: Logger;
}

/** Creates the lookup table of effect handlers. */
export function createRouterEffects(
  options: RouterEffectsOptions,
): EffectHandlers<RouterProcessEvent, RouterProcessEffect> {
  const { parts, logger } = options;
  return {
    send: ({ link, message }) => parts.linkRegistry.send(link, message),
    'keep-links': ({ addresses }) => syncLinks(parts.dialer, addresses, logger),
    'poll-store': (effect) => parts.configPoller.poll(effect),
    'config-in-force': ({ config }) => {
      parts.configIndex.current = createConfigIndex(config);
      logger.info('config-in-force', { version: config.version });
    },
    dispatch: (effect) => parts.relay.dispatch(effect),
    resume: (effect) => parts.relay.resume(effect),
    'ask-outcome': (effect) => parts.relay.queryOutcome(effect),
    cancel: (effect) => parts.relay.cancel(effect),
    'store-read': (effect) => parts.claimEffects.run(effect),
    'store-create': (effect) => parts.claimEffects.run(effect),
    'store-update': (effect) => parts.claimEffects.run(effect),
    'store-remove': (effect) => parts.claimEffects.remove(effect),
    'bar-attempt': (effect) => parts.relay.queryClaimedAttempt(effect),
    'fetch-answer': (effect) => parts.relay.fetchResponse(effect),
    answer({ request, answer }) {
      const repeat = parts.pendingRequests.get(request);
      if (repeat) replayResponse(repeat, answer);
    },
    forget({ request }) {
      parts.pendingRequests.delete(request);
    },
    refuse({ request, code, ran, retryAfterMs }) {
      const refused = parts.pendingRequests.get(request);
      if (!refused) return;
      if (refused.headRelayed) abortResponse(refused, code, ran);
      else sendError(refused.res, code, ran, retryAfterMs);
    },
    stopped: () => parts.stopped.resolve(),
  };
}
