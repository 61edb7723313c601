/** Runs the effects of the router process. */
import type { RouterProcessEffect, RouterProcessEvent } from '@kingcupsill/core';
import { syncLinks } from '@kingcupsill/fleet';
import type { EffectHandlers, Logger } from '@kingcupsill/runtime';

import { breakAnswer, sendError } from './callers/errors.js';
import { createDirectory } from './directory/directory.js';
import { sendRecorded } from './relay/recorded-answer.js';
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
      parts.directory.now = createDirectory(config);
      logger.info('config-in-force', { version: config.version });
    },
    dispatch: (effect) => parts.relay.dispatch(effect),
    resume: (effect) => parts.relay.resume(effect),
    'ask-outcome': (effect) => parts.relay.askOutcome(effect),
    cancel: (effect) => parts.relay.cancel(effect),
    'store-read': (effect) => parts.claims.run(effect),
    'store-create': (effect) => parts.claims.run(effect),
    'store-update': (effect) => parts.claims.run(effect),
    'store-remove': (effect) => parts.claims.remove(effect),
    'bar-attempt': (effect) => parts.relay.askClaimed(effect),
    'fetch-answer': (effect) => parts.relay.fetchAnswer(effect),
    answer({ request, answer }) {
      const repeat = parts.heldRequests.get(request);
      if (repeat) sendRecorded(repeat, answer);
    },
    forget({ request }) {
      parts.heldRequests.delete(request);
    },
    refuse({ request, code, ran, retryAfterMs }) {
      const refused = parts.heldRequests.get(request);
      if (!refused) return;
      if (refused.headRelayed) breakAnswer(refused, code, ran);
      else sendError(refused.res, code, ran, retryAfterMs);
    },
    stopped: () => parts.stopped.resolve(),
  };
}
