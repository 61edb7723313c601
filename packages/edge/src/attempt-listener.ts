/** Listener that turns the progress of an attempt into events of the reducer. */
import { AttemptOutcome, listCrashTraits } from '@kingcupsill/core/direct';
import type { DirectEffect } from '@kingcupsill/core/direct';
import type { Exchange } from './callers/exchange.js';
import { BodyFraming } from './relay/types.js';
import type { AttemptListener, BufferedResponse } from './relay/types.js';
import type { EdgeContext } from './context.js';
import type { EdgeParts } from './types.js';

/** Effect that starts an attempt. */
export type SendEffect = Extract<DirectEffect, { kind: 'send' }>;

/** Keeps the memory of a response reserved for as long as its caller may still be reading it. */
function releaseWithCaller({ res }: Exchange, { release }: BufferedResponse): void {
  if (res.destroyed) release();
  else res.once('close', release);
}

/** Creates the listener. `onEnded` is called before the reducer learns that the attempt has ended. */
export function createAttemptListener(
  { logger, clock }: Pick<EdgeContext, 'logger' | 'clock'>,
  parts: Pick<EdgeParts, 'metrics' | 'loop' | 'requestErrors'>,
  { attempt, request, serverKey }: SendEffect,
  exchange: Exchange,
  onEnded: () => void,
): AttemptListener {
  const { metrics, loop } = parts;
  const requestSentAtMs = clock();
  let hasBegun = false;
  return {
    onAnnounced(announcement) {
      const event = { kind: 'server-announced' as const, serverKey, announcement };
      loop.dispatch({ ...event, requestSentAtMs, nowMs: clock() });
    },
    onBegun() {
      if (hasBegun) return;
      hasBegun = true;
      const nowMs = clock();
      if (!exchange.responseStarted) {
        metrics.observeFirstEvent(exchange.attributes.service, nowMs - exchange.receivedAtMs);
      }
      exchange.responseStarted = true;
      loop.dispatch({ kind: 'attempt-begun', attempt, nowMs });
    },
    onDelivered(lastEventId) {
      loop.dispatch({ kind: 'events-delivered', request, lastEventId, nowMs: clock() });
    },
    onBodyEnded({ framing, bodyBytes, partialEventBytes, hasFramingTrailer }) {
      metrics.countBodyEnd(framing, partialEventBytes > 0);
      const fields = { request, attempt, framing, bodyBytes, partialEventBytes };
      if (hasFramingTrailer) logger.warn('framing-trailer-ignored', fields);
      if (partialEventBytes > 0) logger.warn('body-ended-inside-event', fields);
      else if (framing === BodyFraming.Close) logger.info('body-ended-by-close', fields);
    },
    onError: (err) => parts.requestErrors.record('attempt', request, err),
    onEnded(outcome, detail, response, received) {
      onEnded();
      exchange.bufferedResponse = response;
      if (response !== undefined) releaseWithCaller(exchange, response);
      metrics.countAttemptEnd(outcome);
      if (outcome !== AttemptOutcome.Complete) {
        logger.warn('attempt-ended', {
          request,
          attempt,
          server: serverKey,
          end: outcome,
          detail,
          ...received,
          traits: listCrashTraits(exchange.attributes),
        });
      }
      loop.dispatch({ kind: 'attempt-ended', attempt, outcome, detail, nowMs: clock() });
    },
  };
}
