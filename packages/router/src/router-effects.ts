/** Effect handlers of the router process. */
import type { RouterProcessEffect, RouterProcessEvent } from '@kingcupsill/core';
import { syncLinks } from '@kingcupsill/fleet';
import type { EffectHandlers, Logger } from '@kingcupsill/runtime';

import { abortResponse, sendError } from './callers/errors.js';
import { createConfigIndex } from './config-index/config-index.js';
import { replayResponse } from './relay/recorded-response.js';
import type { RouterParts } from './types.js';

/** Dependencies of the effect handlers. */
export interface RouterEffectsOptions {
  parts: RouterParts;
  logger: Logger;
}

/** Creates the handlers, keyed by effect kind. */
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
      const pending = parts.pendingRequests.get(request);
      if (pending) replayResponse(pending, answer);
    },
    forget({ request }) {
      parts.pendingRequests.delete(request);
    },
    refuse({ request, code, ran, retryAfterMs }) {
      const pending = parts.pendingRequests.get(request);
      if (!pending) return;
      if (pending.headRelayed) abortResponse(pending, code, ran);
      else sendError(pending.res, code, ran, retryAfterMs);
    },
    stopped: () => parts.stopped.resolve(),
  };
}
