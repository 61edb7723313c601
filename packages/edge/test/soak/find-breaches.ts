/** What the fleet promises, checked from what callers and backend servers saw. */
import { answerBody, STREAM_EVENTS, streamEvent } from './backends.js';
import { DEADLINE_MS } from './callers.js';
import { RouteKind, parseRouterName } from './types.js';
import type { Breach, Call, TimeSpan, ServerDeparture, Run } from './types.js';

/** Everything that was seen. */
export interface Observations {
  calls: readonly Call[];
  runs: readonly Run[];
  /** Spans of disturbance by router name. */
  routerDisruptions: ReadonlyMap<string, readonly TimeSpan[]>;
  /** Spans in which the store or a way to it was disturbed. */
  storeDisruptions: readonly TimeSpan[];
  departures: readonly ServerDeparture[];
}

/** Time after which a leaving server gets no new work, as the platform's deployments state it. */
const DEPARTURE_GRACE_MS = 2500;
/** Time after a disturbance in which a router may still not know better: the notice time of its settings. */
const NOTICE_MS = 3000;

/** A request may take this much longer than its deadline: the way, and a loaded machine. */
const MAX_OVERRUN_MS = 1000;
/** Callers that a router takes over from a pause see it this much later. */
const RECOVERY_MS = 1000;
/** Statuses that say that the request has not run and never will. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
const AT_MOST_ONCE_KINDS: readonly RouteKind[] = [RouteKind.Unsafe, RouteKind.NonResumableStream];

function expectedBody({ attemptId, kind, path }: Call): string {
  if (kind === RouteKind.Unsafe || kind === RouteKind.Safe) return answerBody(attemptId, path);
  return Array.from({ length: STREAM_EVENTS }, (_none, index) =>
    streamEvent(attemptId, index + 1),
  ).join('');
}

function checkAnswer(call: Call): string | undefined {
  const { status, headers, body, complete, attemptId } = call;
  if (status !== 200) return undefined;
  if (headers['response-signature'] !== 'signed') return 'success without signature';
  if (headers['attempt-id'] !== attemptId) return 'answer of another request';
  const expected = expectedBody(call);
  if (complete && body !== expected)
    return `whole answer of ${body.length} bytes instead of ${expected.length}`;
  return expected.startsWith(body) ? undefined : 'bytes that are not of this answer';
}

function checkFalseRefusal({ status, path }: Call): string | undefined {
  return status !== undefined && [400, 401, 403, 404, 413, 431].includes(status)
    ? `status ${status} for ${path}`
    : undefined;
}

function checkRetryAfter({ status, headers }: Call): string | undefined {
  return status === 503 && headers['retry-after'] === undefined
    ? '503 without Retry-After'
    : undefined;
}

function countRuns(runs: readonly Run[]): Map<string, number> {
  const counts = new Map<string, number>();
  runs.forEach(({ attemptId }) => counts.set(attemptId, (counts.get(attemptId) ?? 0) + 1));
  return counts;
}

/** Whether a disturbance, with what follows it for `afterMs`, meets a time. */
function overlaps(
  spans: readonly TimeSpan[],
  { fromMs, untilMs }: TimeSpan,
  recoveryMs: number,
): boolean {
  return spans.some((span) => span.fromMs <= untilMs && span.untilMs + recoveryMs >= fromMs);
}

/** Disturbances of the router that took a call. */
function disruptionsOfRouter(observations: Observations, call: Call): readonly TimeSpan[] {
  return observations.routerDisruptions.get(parseRouterName(call.routerProcess)) ?? [];
}

/** Whether the router of a call was disturbed while it was open. */
function wasRouterDisrupted(observations: Observations, call: Call): boolean {
  const callSpan = { fromMs: call.sentAtMs, untilMs: call.endedAtMs };
  return overlaps(disruptionsOfRouter(observations, call), callSpan, RECOVERY_MS);
}

function checkDeadline(observations: Observations, call: Call): string | undefined {
  const durationMs = call.endedAtMs - call.sentAtMs;
  if (durationMs <= DEADLINE_MS + MAX_OVERRUN_MS || wasRouterDisrupted(observations, call))
    return undefined;
  return `ended after ${Math.round(durationMs)} ms`;
}

/** A router that runs answers each plain request that it passed on, also while it shuts down. */
function checkLostAnswer(
  observations: Observations,
  call: Call,
  runCount: number,
): string | undefined {
  const isPlain = call.kind === RouteKind.Unsafe || call.kind === RouteKind.Safe;
  if (
    !isPlain ||
    call.status !== undefined ||
    runCount === 0 ||
    wasRouterDisrupted(observations, call)
  )
    return undefined;
  return 'connection closed without an answer after the request ran';
}

/** Work that a leaving server got after its bound, from a router that could know. */
export function findWorkAfterDeparture(observations: Observations): Breach[] {
  const callsById = new Map(observations.calls.map((call) => [call.attemptId, call]));
  return observations.departures.flatMap(({ server, fromMs, untilMs }) =>
    observations.runs.flatMap((run) => {
      const call = callsById.get(run.attemptId);
      const sentAfterGrace = call !== undefined && call.sentAtMs > fromMs + DEPARTURE_GRACE_MS;
      if (run.server !== server || !sentAfterGrace || run.atMs > untilMs) return [];
      const isExcused = [
        disruptionsOfRouter(observations, call),
        observations.storeDisruptions,
      ].some((spans) => overlaps(spans, { fromMs, untilMs: run.atMs }, NOTICE_MS));
      if (isExcused) return [];
      const detail = `${server}, ${Math.round(run.atMs - fromMs)} ms later (${call.attemptId} at ${call.routerProcess})`;
      return [{ promise: 'a leaving server gets no new work', detail }];
    }),
  );
}

/** All promises about single requests that were broken. */
export function findBreaches(observations: Observations): Breach[] {
  const runCounts = countRuns(observations.runs);
  return observations.calls.flatMap((call) => {
    const runCount = runCounts.get(call.attemptId) ?? 0;
    const isAtMostOnce = AT_MOST_ONCE_KINDS.includes(call.kind);
    const reportedNotRun = call.status !== undefined && NOT_RUN_STATUSES.has(call.status);
    const checks: [string, string | undefined][] = [
      ['whole answers', checkAnswer(call)],
      ['nothing allowed is denied', checkFalseRefusal(call)],
      ['rejections say when to come back', checkRetryAfter(call)],
      ['requests end in time', checkDeadline(observations, call)],
      ['answers are not cut', checkLostAnswer(observations, call, runCount)],
      ['at most one run', isAtMostOnce && runCount > 1 ? `${runCount} runs` : undefined],
      [
        'not run is true',
        isAtMostOnce && reportedNotRun && runCount > 0 ? `${call.status}, yet ran` : undefined,
      ],
    ];
    return checks.flatMap(([promise, detail]) =>
      detail === undefined
        ? []
        : [{ promise, detail: `${detail} (${call.attemptId} at ${call.routerProcess})` }],
    );
  });
}
