/** Takes callers' requests to the reducer and runs its effects. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { directReducer, pickService, RefusalCode, RepeatRule } from '@kingcupsill/core/direct';
import type {
  DirectEffect,
  DirectEvent,
  DirectState,
  Refusal,
  RequestFacts,
  Route,
} from '@kingcupsill/core/direct';
import { readCallerHeaders, toServerHeaders } from '@kingcupsill/prepared-platform';
import type { CallerHeaders } from '@kingcupsill/prepared-platform';
import { createLoop } from '@kingcupsill/runtime';
import type { Logger, Loop } from '@kingcupsill/runtime';
import { createAnswerTarget, writeAnswer, writeRefusal } from './callers/exchange.js';
import type { Exchange } from './callers/exchange.js';
import { readBody } from './callers/read-body.js';
import type { EdgeMetrics } from './metrics.js';
import { startAttempt } from './relay/attempt.js';
import type { ServerConnections } from './relay/server-connections.js';
import type { RunningAttempt } from './relay/types.js';

/** Retry-After before a configuration is known: it comes within a second of the store's answer. */
const NO_CONFIGURATION_RETRY_MS = 1000;
/** A request that must not be repeated takes only a connection that was used this recently, so that it isn't lost to a server's idle close. */
const FRESH_CONNECTION_MS = 1000;

/** Options of the request handling. */
export interface RequestsOptions {
  state: DirectState;
  connections: ServerConnections;
  logger: Logger;
  metrics: EdgeMetrics;
  nowMs: () => number;
  random: () => number;
}

/** The loop and the entry for requests. */
export interface Requests {
  loop: Loop<DirectState, DirectEvent>;
  onRequest(req: IncomingMessage, res: ServerResponse): void;
}

type Admitted = { ok: true; facts: RequestFacts } | { ok: false; refusal: Refusal };

function refused(status: number, code: RefusalCode, retryAfterMs?: number): Admitted {
  return { ok: false, refusal: { status, code, ran: 'no', retryAfterMs } };
}

/** Creates the request handling. */
export function createRequests(options: RequestsOptions): Requests {
  const { state, connections, logger, metrics, nowMs, random } = options;
  const exchanges = new Map<string, { exchange: Exchange; res: ServerResponse }>();
  // Apart from the exchanges: an attempt is cancelled after its caller has gone.
  const running = new Map<string, RunningAttempt>();
  let numbered = 0;

  function headerBytes(req: IncomingMessage): number {
    return req.rawHeaders.reduce((sum, text) => sum + text.length + 2, req.url!.length);
  }

  function factsOf(
    route: Route,
    headers: CallerHeaders,
    account: { name: string; priority: number | undefined } | undefined,
    arrivedMs: number,
  ): RequestFacts | undefined {
    const service = pickService(route, random());
    if (service === undefined) return undefined;
    const patienceMs = Math.min(route.timeoutMs, headers.deadlineMs ?? route.timeoutMs);
    return {
      route,
      service,
      account: account?.name,
      priority: account?.priority ?? route.priority,
      expiresAtMs: arrivedMs + patienceMs,
      parts: headers.parts,
      promptTokens: headers.promptTokens,
      outputTokens: headers.outputTokens,
    };
  }

  /** Route, key and limits of a request. */
  function check(req: IncomingMessage, headers: CallerHeaders, arrivedMs: number): Admitted {
    const { table } = state;
    if (table === undefined || !state.listed) {
      return refused(503, RefusalCode.NoConfiguration, NO_CONFIGURATION_RETRY_MS);
    }
    if (!req.url!.startsWith('/')) return refused(400, RefusalCode.Malformed);
    if (headerBytes(req) > table.config.limits.maxHeaderBytes) {
      return refused(431, RefusalCode.HeaderTooLarge);
    }
    const route = table.findRoute(headers.host, req.url!);
    if (route === undefined) return refused(404, RefusalCode.UnknownRoute);
    const keyed = !route.public && table.config.accounts !== undefined;
    const account = keyed ? table.findAccount(headers.apiKey ?? '') : undefined;
    if (keyed && account === undefined) return refused(401, RefusalCode.UnknownKey);
    const facts = factsOf(route, headers, account, arrivedMs);
    return facts === undefined
      ? refused(503, RefusalCode.NoServer, NO_CONFIGURATION_RETRY_MS)
      : { ok: true, facts };
  }

  function reject(res: ServerResponse, headers: CallerHeaders, refusal: Refusal): void {
    metrics.refused(refusal.code);
    logger.warn('request-rejected', {
      attemptId: headers.attemptId,
      status: refusal.status,
      code: refusal.code,
      configuration: state.table?.config.version,
    });
    writeRefusal(res, refusal);
  }

  function submit(res: ServerResponse, exchange: Exchange): void {
    const { id, facts } = exchange;
    exchanges.set(id, { exchange, res });
    res.on('close', () => {
      if (exchanges.delete(id)) loop.dispatch({ kind: 'caller-left', request: id, nowMs: nowMs() });
    });
    loop.dispatch({ kind: 'request', request: id, facts, draw: random(), nowMs: nowMs() });
  }

  function onRequest(req: IncomingMessage, res: ServerResponse): void {
    const arrivedMs = nowMs();
    const headers = readCallerHeaders(req.headers);
    const most = state.table?.config.limits.maxBodyBytes ?? 0;
    const early = check(req, headers, arrivedMs);
    readBody(req, most, (outcome) => {
      if (!early.ok) {
        reject(res, headers, early.refusal);
        return;
      }
      if (!outcome.ok) {
        if (outcome.reason === 'too-large') {
          const code = RefusalCode.BodyTooLarge;
          reject(res, headers, { status: 413, code, ran: 'no', retryAfterMs: undefined });
        }
        return;
      }
      numbered += 1;
      const exchange: Exchange = {
        id: `${headers.attemptId ?? 'none'}-${numbered}`,
        req,
        headers,
        facts: early.facts,
        body: outcome.body,
        target: createAnswerTarget(res),
        held: undefined,
      };
      submit(res, exchange);
    });
  }

  function send(effect: Extract<DirectEffect, { kind: 'send' }>): void {
    const found = exchanges.get(effect.request);
    if (found === undefined) return;
    const { exchange } = found;
    const { req, facts, headers, body } = exchange;
    const { attempt, request, why } = effect;
    logger.info('request-sent', { request, attempt, repeat: effect.repeat, ...why });
    metrics.sent(effect.repeat);
    const own = {
      leftMs: effect.leftMs,
      serverId: effect.serverId,
      account: facts.account,
      lastEventId: effect.lastEventId ?? headers.lastEventId,
      fetchFrom: effect.fetchFrom,
    };
    exchange.held = undefined;
    const started = startAttempt(
      connections,
      {
        method: req.method!,
        path: req.url!,
        headers: toServerHeaders(req.rawHeaders, req.headers.connection, own, body.length),
        body,
        attemptId: headers.attemptId,
        streaming: facts.route.streaming,
        host: effect.host,
        port: effect.port,
        freshMs: facts.route.repeat === RepeatRule.Any ? undefined : FRESH_CONNECTION_MS,
      },
      exchange.target,
      {
        begun: () => loop.dispatch({ kind: 'attempt-begun', attempt, nowMs: nowMs() }),
        delivered(lastEventId) {
          const id = lastEventId ?? headers.lastEventId ?? '';
          loop.dispatch({ kind: 'events-delivered', request, lastEventId: id, nowMs: nowMs() });
        },
        ended(end, detail, held) {
          running.delete(attempt);
          exchange.held = held;
          metrics.ended(end);
          if (end !== 'complete') logger.warn('attempt-ended', { request, attempt, end, detail });
          const draw = random();
          loop.dispatch({ kind: 'attempt-ended', attempt, end, detail, draw, nowMs: nowMs() });
        },
      },
    );
    running.set(attempt, started);
  }

  function take(request: string): { exchange: Exchange; res: ServerResponse } | undefined {
    const found = exchanges.get(request);
    exchanges.delete(request);
    return found;
  }

  const loop = createLoop<DirectState, DirectEvent, DirectEffect>({
    initialState: state,
    reduce: directReducer,
    handlers: {
      send,
      cancel({ attempt }) {
        running.get(attempt)?.cancel();
        running.delete(attempt);
      },
      finish({ request }) {
        const found = take(request);
        if (found === undefined) return;
        const { exchange, res } = found;
        writeAnswer(res, exchange.held);
        metrics.answered(res.statusCode);
      },
      refuse({ request, refusal, why }) {
        const found = take(request);
        logger.warn('request-refused', { request, ...refusal, ...why });
        metrics.refused(refusal.code);
        if (found !== undefined) writeRefusal(found.res, refusal);
      },
      note({ event, fields }) {
        logger.info(event, fields);
      },
    },
  });

  return { loop, onRequest };
}
