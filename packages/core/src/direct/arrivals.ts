/** Event handlers for arriving requests. */
import { admit } from './admission.js';
import { listCrashTraits } from './crashes/crash-traits.js';
import { describeCandidate, send } from './dispatch.js';
import { mayArriveInDrain, describeDrain } from './drain.js';
import type { DirectEffect } from './events.js';
import { chooseServer } from './placement.js';
import {
  createDrainingRefusal,
  createNotRunRefusal,
  NO_SERVER_RETRY_MS,
  refuse,
  refuseWithoutServer,
} from './request-end.js';
import { exceedsCapacity, requestTokens, withProcessedTokens } from './request-tokens.js';
import type { DirectState, OpenRequest } from './state.js';
import { RefusalCode, RetryPolicy } from './types.js';
import type { RequestAttributes } from './types.js';
import { createOriginFinder, readRecords } from './versions/resumed-streams.js';
import type { StreamOrigin } from './versions/stream-journal.js';
import type { StreamRecords } from './versions/types.js';

/** Returns the time for which a request remains blocked because such requests crash servers; 0 if it isn't. */
export function remainingBlockMs(
  { crashEvidence }: DirectState,
  attributes: RequestAttributes,
  nowMs: number,
): number {
  return crashEvidence.blocks.remainingMs(listCrashTraits(attributes), nowMs);
}

/** `Retry-After` of a request that no server can run until the configuration changes. */
const PROMPT_TOO_LARGE_RETRY_MS = 60_000;

/** Refuses a request that isn't expected to end before the drain does. */
function refuseInDrain(state: DirectState, request: OpenRequest, nowMs: number): DirectEffect[] {
  const decisionInputs = describeDrain(state, request.attributes, nowMs);
  return refuse(state, request, createDrainingRefusal(), decisionInputs, nowMs);
}

/** Returns the share that the request's account has used; 0 on public routes. */
export function getShareUsed(
  { accountUsage }: DirectState,
  { account }: RequestAttributes,
  nowMs: number,
): number {
  return account === undefined ? 0 : accountUsage.shareUsed(account, nowMs);
}

/** Selects a server for a request and sends it, or refuses it. */
function admitRequest(
  state: DirectState,
  request: OpenRequest,
  draw: number,
  nowMs: number,
): DirectEffect[] {
  const { attributes } = request;
  const kvCapacityTokens = state.routeTable?.findService(attributes.service)?.engine
    ?.kvCapacityTokens;
  if (exceedsCapacity(attributes, kvCapacityTokens)) {
    const refusal = createNotRunRefusal(RefusalCode.PromptTooLarge, PROMPT_TOO_LARGE_RETRY_MS);
    const { account, promptTokens } = attributes;
    return refuse(state, request, refusal, { account, promptTokens, kvCapacityTokens }, nowMs);
  }
  // Not counted as demand, since another router gets the request.
  if (!mayArriveInDrain(state, attributes, nowMs)) return refuseInDrain(state, request, nowMs);
  const tokens = requestTokens(attributes);
  state.retryBudget.recordRequest(attributes.service, nowMs);
  state.serviceDemand.recordOwn(attributes.service, nowMs);
  // Computed before this request is recorded: it counts as unserved demand only once it has been refused.
  const shareUsed = getShareUsed(state, attributes, nowMs);
  if (attributes.account !== undefined)
    state.accountUsage.recordRequested(attributes.account, tokens, nowMs);
  const best = chooseServer(state, request, draw, nowMs);
  if (best === undefined) return refuseWithoutServer(state, request, draw, nowMs);
  const shortfall = state.accountUsage.shortfall(nowMs);
  const admission = admit(attributes, best, { used: shareUsed, shortfall }, draw);
  const decisionInputs = {
    ...describeCandidate(best),
    allowedMs: Math.round(admission.allowedMs),
    shareUsed: Math.round(shareUsed * 100) / 100,
    shortfall: Math.round(shortfall * 100) / 100,
    account: attributes.account,
  };
  if (!admission.admitted) {
    const code = shareUsed > 1 ? RefusalCode.AccountOverShare : RefusalCode.Overloaded;
    return refuse(
      state,
      request,
      createNotRunRefusal(code, admission.retryAfterMs),
      decisionInputs,
      nowMs,
    );
  }
  if (attributes.account !== undefined)
    state.accountUsage.recordServed(attributes.account, tokens, nowMs);
  state.requests.set(request.id, request);
  return send(state, request, best, decisionInputs, nowMs);
}

/** `Retry-After` of a stream that stays uncertain for as long as callers usually wait. */
const UNCERTAIN_RETRY_MS = 60_000;

/** Reasons why a stream can't be resumed, for logs, and when it is worth trying again. */
export const ResumptionFailure = {
  /** The configuration has moved the route to other services than the one at which the stream began. */
  RouteMoved: { detail: 'route moved', retryAfterMs: UNCERTAIN_RETRY_MS },
  /** No router has recorded the stream, and several versions may have begun it. */
  NotRecorded: { detail: 'not recorded', retryAfterMs: UNCERTAIN_RETRY_MS },
  NotRead: { detail: 'records not read', retryAfterMs: NO_SERVER_RETRY_MS },
  TimeOver: { detail: 'time over', retryAfterMs: NO_SERVER_RETRY_MS },
} as const;
export type ResumptionFailure = (typeof ResumptionFailure)[keyof typeof ResumptionFailure];

/** Sends a request that resumes a stream to the version that began it. */
function resumeStream(
  state: DirectState,
  request: OpenRequest,
  { service, version }: StreamOrigin,
  draw: number,
  nowMs: number,
): DirectEffect[] {
  const { attributes } = request;
  // The configuration may have moved the route to another service since the stream began.
  if (!attributes.route.services.some((entry) => entry.service === service))
    return refuseResumption(state, request, ResumptionFailure.RouteMoved, nowMs);
  request.attributes = { ...attributes, service };
  request.version = version;
  state.totals.resumed += 1;
  return admitRequest(state, request, draw, nowMs);
}

/** Refuses a request to resume a stream whose version isn't certain. */
export function refuseResumption(
  state: DirectState,
  request: OpenRequest,
  { detail, retryAfterMs }: ResumptionFailure,
  nowMs: number,
): DirectEffect[] {
  state.totals.resumptionsRefused += 1;
  const { account } = request.attributes;
  const refusal = createNotRunRefusal(RefusalCode.StreamVersionUnknown, retryAfterMs);
  return refuse(state, request, refusal, { account, detail }, nowMs);
}

/** Handles the arrival of a complete request. */
export function onRequest(
  state: DirectState,
  requestId: string,
  statedAttributes: RequestAttributes,
  draw: number,
  nowMs: number,
): DirectEffect[] {
  const service = state.routeTable?.findService(statedAttributes.service);
  const attributes = withProcessedTokens(statedAttributes, service?.engine !== undefined);
  const request: OpenRequest = {
    id: requestId,
    attributes,
    triedServerKeys: [],
    possibleRuns: 0,
    sentAttempts: 0,
    currentAttempt: undefined,
    answerStarted: false,
    lastEventId: undefined,
    version: undefined,
  };
  const blockMs = remainingBlockMs(state, attributes, nowMs);
  // Not counted as demand of its account, whose other requests are to be served.
  if (blockMs > 0)
    return refuse(
      state,
      request,
      createNotRunRefusal(RefusalCode.CrashingRequest, blockMs),
      { account: attributes.account },
      nowMs,
    );
  const { route, streamId, resumeAfter } = attributes;
  if (resumeAfter === undefined || route.retryPolicy !== RetryPolicy.Resume)
    return admitRequest(state, request, draw, nowMs);
  const origin = streamId === undefined ? undefined : state.versions.journal.find(streamId);
  if (origin !== undefined) return resumeStream(state, request, origin, draw, nowMs);
  if (!mayArriveInDrain(state, attributes, nowMs)) return refuseInDrain(state, request, nowMs);
  state.requests.set(requestId, request);
  state.versions.waiting.set(requestId, draw);
  return readRecords(state, nowMs);
}

/** Sends the requests that have waited for the store's records, or refuses those whose version isn't certain. */
export function onStreamsRead(
  state: DirectState,
  records: StreamRecords | undefined,
  nowMs: number,
): DirectEffect[] {
  const waited = [...(state.versions.reading ?? [])].flatMap(([requestId, draw]) => {
    const request = state.requests.get(requestId);
    return request === undefined ? [] : { request, draw };
  });
  state.versions.reading = undefined;
  const streamIds = new Set(waited.flatMap(({ request }) => request.attributes.streamId ?? []));
  const findOrigin = records && createOriginFinder(state, records, streamIds);
  const effects = waited.flatMap(({ request, draw }) => {
    if (findOrigin === undefined)
      return refuseResumption(state, request, ResumptionFailure.NotRead, nowMs);
    const origin = findOrigin(request.attributes);
    return origin === undefined
      ? refuseResumption(state, request, ResumptionFailure.NotRecorded, nowMs)
      : resumeStream(state, request, origin, draw, nowMs);
  });
  return [...effects, ...readRecords(state, nowMs)];
}
