/** Handlers of the reducer's effects. */
import { RetryPolicy } from '@kingcupsill/core/direct';
import type { DirectEffect } from '@kingcupsill/core/direct';
import { buildRequestHeaders } from '@kingcupsill/prepared-platform';
import { createAttemptListener } from './attempt-listener.js';
import type { SendEffect } from './attempt-listener.js';
import { limitReadTime, writeRefusal, writeResponse } from './callers/exchange.js';
import type { Exchange } from './callers/exchange.js';
import { startAttempt } from './relay/attempt.js';
import { listCachedParts } from './relay/list-cached-parts.js';
import type { AttemptRequest, RunningAttempt } from './relay/types.js';
import type { EdgeContext } from './context.js';
import type { EdgeParts } from './types.js';

type EffectParts = Pick<
  EdgeParts,
  'exchanges' | 'connections' | 'metrics' | 'loop' | 'reporting' | 'streamStore' | 'requestErrors'
>;

/**
 * Maximum idle time of a connection for a request that must not be retried, so that the request isn't lost when the server closes
 * an idle connection.
 */
const NON_RETRYABLE_MAX_IDLE_MS = 1000;
/** Time after a request's deadline within which its caller may still read the response. */
const MAX_UNREAD_MS = 2000;

function buildAttemptRequest(effect: SendEffect, exchange: Exchange): AttemptRequest {
  const { req, attributes, headers, body, streamJoin, usedSockets } = exchange;
  const { streaming, retryPolicy } = attributes.route;
  const routerHeaders = {
    remainingMs: effect.remainingMs,
    serverId: effect.serverId,
    account: attributes.account,
    lastEventId: effect.lastEventId ?? headers.lastEventId,
  };
  return {
    method: req.method!,
    path: req.url!,
    headers: buildRequestHeaders(
      req.rawHeaders,
      req.headers.connection,
      routerHeaders,
      body.length,
    ),
    body,
    attemptId: headers.attemptId,
    streaming,
    streamJoin,
    isResumed: (routerHeaders.lastEventId ?? '') !== '',
    host: effect.host,
    port: effect.port,
    maxIdleMs: retryPolicy === RetryPolicy.Any ? undefined : NON_RETRYABLE_MAX_IDLE_MS,
    usedSockets,
  };
}

/** Handlers of the effects on the records of streams; each dispatches the event that answers it. */
function createStreamStoreHandlers(
  { clock }: EdgeContext,
  parts: Pick<EffectParts, 'loop' | 'streamStore'>,
) {
  return {
    'record-versions': async ({
      service,
      change,
    }: Extract<DirectEffect, { kind: 'record-versions' }>) => {
      const record = await parts.streamStore.changeVersions(service, change);
      const event = { kind: 'versions-recorded' as const, service, change, record };
      parts.loop.dispatch({ ...event, nowMs: clock() });
    },
    'store-streams': async ({ streams }: Extract<DirectEffect, { kind: 'store-streams' }>) => {
      const ok = await parts.streamStore.storeStreams(streams);
      parts.loop.dispatch({ kind: 'streams-stored', ok, nowMs: clock() });
    },
    'read-streams': async () => {
      const records = await parts.streamStore.readStreams();
      parts.loop.dispatch({ kind: 'streams-read', records, nowMs: clock() });
    },
  };
}

/** Creates the handlers of the effects on the connections of attempts. */
function createConnectionHandlers(
  { logger, clock }: EdgeContext,
  parts: Pick<EffectParts, 'connections' | 'loop' | 'metrics'>,
  attempts: Map<string, RunningAttempt>,
) {
  function recordDoubtful(attempt: string, closed: number): void {
    if (closed === 0) return;
    parts.metrics.countDoubtfulConnections(closed);
    logger.info('server-connections-doubtful', { attempt, closed });
  }

  return {
    cancel({ attempt }: Extract<DirectEffect, { kind: 'cancel' }>) {
      recordDoubtful(attempt, attempts.get(attempt)?.cancel() ?? 0);
      attempts.delete(attempt);
    },
    'examine-connection': ({ attempt }: Extract<DirectEffect, { kind: 'examine-connection' }>) => {
      // What has arrived while this process was paused is read first.
      setImmediate(() => {
        if (attempts.get(attempt)?.isSilent() !== true) return;
        parts.metrics.countSilentConnection();
        logger.info('server-connection-silent', { attempt });
        recordDoubtful(attempt, parts.connections.closeRested());
        parts.loop.dispatch({ kind: 'connection-silent', attempt, nowMs: clock() });
      });
    },
  };
}

/** Creates one handler per kind of effect. `parts` is accessed only when effects run. */
export function createEffectHandlers(ctx: EdgeContext, parts: EffectParts) {
  const { logger, clock } = ctx;
  // Kept separately from the exchanges, since an attempt is cancelled after its exchange has been removed.
  const attempts = new Map<string, RunningAttempt>();

  function send(effect: SendEffect): void {
    const exchange = parts.exchanges.get(effect.request);
    if (exchange === undefined) return;
    const { request, attempt, isRetry, decisionInputs } = effect;
    const { fingerprint, streamId, resumeAfter } = exchange.attributes;
    logger.info('request-sent', {
      request,
      attempt,
      repeat: isRetry,
      fingerprint,
      ...(resumeAfter === undefined ? {} : { streamId, resumeAfter }),
      ...decisionInputs,
    });
    parts.metrics.countAttempt(isRetry);
    exchange.bufferedResponse = undefined;
    const attemptRequest = buildAttemptRequest(effect, exchange);
    const listener = createAttemptListener(ctx, parts, effect, exchange, () =>
      attempts.delete(attempt),
    );
    parts.reporting.schedule();
    attempts.set(attempt, startAttempt(parts.connections, attemptRequest, exchange.sink, listener));
  }

  return {
    send,
    'list-kept': async ({
      serverKey,
      host,
      port,
    }: Extract<DirectEffect, { kind: 'list-kept' }>) => {
      const requestSentAtMs = clock();
      const result = await listCachedParts(parts.connections, host, port);
      const { announcement } = result;
      if (announcement !== undefined) {
        const event = { kind: 'server-announced' as const, serverKey, announcement };
        parts.loop.dispatch({ ...event, requestSentAtMs, nowMs: clock() });
      }
      if (result.ok) {
        const event = { kind: 'kept-listed' as const, serverKey, promptParts: result.value };
        parts.loop.dispatch({ ...event, nowMs: clock() });
      } else {
        logger.info('kept-not-listed', { server: serverKey, reason: result.message });
      }
    },
    ...createStreamStoreHandlers(ctx, parts),
    ...createConnectionHandlers(ctx, parts, attempts),
    finish({ request }: Extract<DirectEffect, { kind: 'finish' }>) {
      const exchange = parts.exchanges.get(request);
      if (exchange === undefined) return;
      const { res, attributes } = exchange;
      const remainingMs = Math.max(0, attributes.expiresAtMs - clock());
      limitReadTime(res, remainingMs + MAX_UNREAD_MS, () =>
        logger.warn('response-unread', { request, unsentBytes: res.writableLength }),
      );
      writeResponse(res, exchange.bufferedResponse);
      parts.exchanges.take(request);
      parts.metrics.countResponse(exchange.res.statusCode);
      parts.metrics.observeCompletion(exchange.attributes.service, clock() - exchange.receivedAtMs);
    },
    refuse({ request, refusal, decisionInputs }: Extract<DirectEffect, { kind: 'refuse' }>) {
      const exchange = parts.exchanges.get(request);
      logger.warn('request-refused', { request, ...refusal, ...decisionInputs });
      parts.metrics.countRefusal(refusal.code);
      if (exchange !== undefined) writeRefusal(exchange.res, refusal);
      parts.exchanges.take(request);
    },
    note({ event, fields }: Extract<DirectEffect, { kind: 'note' }>) {
      logger.info(event, fields);
    },
  };
}
