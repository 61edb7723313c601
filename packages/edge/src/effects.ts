/** Runs the reducer's effects. */
import { AttemptOutcome, RetryPolicy } from '@kingcupsill/core/direct';
import type { DirectEffect } from '@kingcupsill/core/direct';
import { toServerHeaders } from '@kingcupsill/prepared-platform';
import type { Exchange } from './callers/exchange.js';
import { writeAnswer, writeRefusal } from './callers/exchange.js';
import { startAttempt } from './relay/attempt.js';
import { listKept } from './relay/list-kept.js';
import type { AttemptListener, AttemptRequest, RunningAttempt } from './relay/types.js';
import type { EdgeContext, EdgeParts } from './types.js';

type SendEffect = Extract<DirectEffect, { kind: 'send' }>;
type EffectParts = Pick<EdgeParts, 'exchanges' | 'connections' | 'metrics' | 'loop'>;

/**
 * A request that must not be repeated takes only a connection that was used this recently, so that it isn't lost to a server's
 * idle close.
 */
const FRESH_CONNECTION_MS = 1000;

function toAttempt(effect: SendEffect, exchange: Exchange): AttemptRequest {
  const { req, facts, headers, body } = exchange;
  const own = {
    leftMs: effect.remainingMs,
    serverId: effect.serverId,
    account: facts.account,
    lastEventId: effect.lastEventId ?? headers.lastEventId,
  };
  return {
    method: req.method!,
    path: req.url!,
    headers: toServerHeaders(req.rawHeaders, req.headers.connection, own, body.length),
    body,
    attemptId: headers.attemptId,
    streaming: facts.route.streaming,
    host: effect.host,
    port: effect.port,
    freshMs: facts.route.retryPolicy === RetryPolicy.Any ? undefined : FRESH_CONNECTION_MS,
  };
}

/** Creates the handlers, one for each kind of effect. `parts` is read when effects run. */
export function createEffects(ctx: EdgeContext, parts: EffectParts) {
  const { logger, clock } = ctx;
  // Apart from the exchanges: an attempt is cancelled after its caller has gone.
  const running = new Map<string, RunningAttempt>();

  function listen({ attempt, request }: SendEffect, exchange: Exchange): AttemptListener {
    return {
      begun() {
        const nowMs = clock();
        if (!exchange.begun) {
          parts.metrics.began(exchange.facts.service, nowMs - exchange.arrivedAtMs);
        }
        exchange.begun = true;
        parts.loop.dispatch({ kind: 'attempt-begun', attempt, nowMs });
      },
      delivered(lastId) {
        const lastEventId = lastId ?? exchange.headers.lastEventId ?? '';
        parts.loop.dispatch({ kind: 'events-delivered', request, lastEventId, nowMs: clock() });
      },
      ended(outcome, detail, held) {
        running.delete(attempt);
        exchange.held = held;
        parts.metrics.ended(outcome);
        if (outcome !== AttemptOutcome.Complete) {
          logger.warn('attempt-ended', { request, attempt, end: outcome, detail });
        }
        parts.loop.dispatch({ kind: 'attempt-ended', attempt, outcome, detail, nowMs: clock() });
      },
    };
  }

  function send(effect: SendEffect): void {
    const exchange = parts.exchanges.get(effect.request);
    if (exchange === undefined) return;
    const { request, attempt, isRetry, decisionInputs } = effect;
    logger.info('request-sent', { request, attempt, repeat: isRetry, ...decisionInputs });
    parts.metrics.sent(isRetry);
    exchange.held = undefined;
    const toSend = toAttempt(effect, exchange);
    const listener = listen(effect, exchange);
    running.set(attempt, startAttempt(parts.connections, toSend, exchange.target, listener));
  }

  return {
    send,
    'list-kept': async ({
      serverKey,
      host,
      port,
    }: Extract<DirectEffect, { kind: 'list-kept' }>) => {
      const outcome = await listKept(parts.connections, host, port);
      if (outcome.ok) {
        const event = { kind: 'kept-listed' as const, serverKey, promptParts: outcome.value };
        parts.loop.dispatch({ ...event, nowMs: clock() });
      } else {
        logger.info('kept-not-listed', { server: serverKey, reason: outcome.message });
      }
    },
    cancel({ attempt }: Extract<DirectEffect, { kind: 'cancel' }>) {
      running.get(attempt)?.cancel();
      running.delete(attempt);
    },
    finish({ request }: Extract<DirectEffect, { kind: 'finish' }>) {
      const exchange = parts.exchanges.take(request);
      if (exchange === undefined) return;
      writeAnswer(exchange.res, exchange.held);
      parts.metrics.answered(exchange.res.statusCode);
      parts.metrics.finished(exchange.facts.service, clock() - exchange.arrivedAtMs);
    },
    refuse({ request, refusal, decisionInputs }: Extract<DirectEffect, { kind: 'refuse' }>) {
      const exchange = parts.exchanges.take(request);
      logger.warn('request-refused', { request, ...refusal, ...decisionInputs });
      parts.metrics.refused(refusal.code);
      if (exchange !== undefined) writeRefusal(exchange.res, refusal);
    },
    note({ event, fields }: Extract<DirectEffect, { kind: 'note' }>) {
      logger.info(event, fields);
    },
  };
}
