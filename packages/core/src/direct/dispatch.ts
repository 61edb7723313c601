/** Selection of servers for requests, and attempts at them. */
import type { DecisionInputs, DirectEffect } from './events.js';
import type { Candidate } from './placement.js';
import { ownTokens, sharedParts } from './prompt-parts.js';
import { recordSend } from './state.js';
import type { DirectState, OpenAttempt, OpenRequest } from './state.js';
import { RetryPolicy } from './types.js';
import type { RequestAttributes } from './types.js';

function countTokens(
  { totals }: DirectState,
  attributes: RequestAttributes,
  candidate: Candidate,
): void {
  const own = ownTokens(attributes.promptParts);
  const recomputed = candidate.recomputedTokens;
  totals.sent += 1;
  totals.ownTokens += own;
  totals.againTokens += recomputed;
  totals.keptTokens += Math.max(0, attributes.promptTokens - own - recomputed);
}

/** Records a new attempt at the chosen server in the state. */
function openAttempt(
  state: DirectState,
  request: OpenRequest,
  candidate: Candidate,
  nowMs: number,
): OpenAttempt {
  const { attributes } = request;
  const { server, serverState, predictedMs, prefillTokens } = candidate;
  const shared = sharedParts(attributes.promptParts);
  if (!serverState.load.prefixCache.containsAll(shared))
    serverState.unreportedParts.push(...shared);
  serverState.load.prefixCache.record(attributes.promptParts);
  serverState.unansweredAttempts += 1;
  recordSend(state, server, nowMs);
  state.attemptCount += 1;
  const attempt: OpenAttempt = {
    id: `${request.id}.${state.attemptCount}`,
    requestId: request.id,
    serverKey: server.key,
    countedIn: serverState,
    prediction: serverState.load.recordSend(nowMs, prefillTokens),
    predictedMs,
    begunAtMs: undefined,
    heardAtMs: undefined,
    examinedAtMs: nowMs,
    isSilent: false,
  };
  state.attempts.set(attempt.id, attempt);
  countTokens(state, attributes, candidate);
  return attempt;
}

/** Binds a stream that may be resumed to the version that gets it first, since its journal entry may be in the store by now. */
function bindToVersion(
  { versions: { journal } }: DirectState,
  request: OpenRequest,
  version: string,
): void {
  const { route, service, streamId } = request.attributes;
  if (route.retryPolicy !== RetryPolicy.Resume) return;
  request.version = version;
  if (streamId !== undefined) journal.begin(streamId, { service, version });
}

/** Sends a request to the chosen server. */
export function send(
  state: DirectState,
  request: OpenRequest,
  candidate: Candidate,
  decisionInputs: DecisionInputs,
  nowMs: number,
): DirectEffect[] {
  const { entry } = candidate.server;
  const attempt = openAttempt(state, request, candidate, nowMs);
  const isRetry = request.sentAttempts > 0;
  bindToVersion(state, request, entry.softwareVersion);
  request.triedServerKeys.push(attempt.serverKey);
  request.sentAttempts += 1;
  request.currentAttempt = attempt;
  return [
    {
      kind: 'send',
      request: request.id,
      attempt: attempt.id,
      serverKey: attempt.serverKey,
      host: entry.host,
      port: entry.port,
      serverId: entry.id,
      remainingMs: request.attributes.expiresAtMs - nowMs,
      lastEventId: request.lastEventId,
      isRetry,
      decisionInputs: { ...decisionInputs, tried: request.triedServerKeys.length },
    },
  ];
}

/** Inputs of a decision for a server, for logs. */
export function describeCandidate(candidate: Candidate): DecisionInputs {
  return {
    server: candidate.server.key,
    version: candidate.server.entry.softwareVersion,
    predictedMs: Math.round(candidate.predictedMs),
    waitMs: Math.round(candidate.waitMs),
    meanWaitMs: Math.round(candidate.meanWaitMs),
    readTokens: candidate.prefillTokens,
    running: candidate.serverState.load.running(),
  };
}
/** Version to which a request is bound, for logs. */
export function describeVersion({ version }: OpenRequest): DecisionInputs {
  return version === undefined ? {} : { version };
}
