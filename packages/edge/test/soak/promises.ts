/** What the fleet promises, checked from what callers and backend servers saw. */
import { answerBody, STREAM_EVENTS, streamEvent } from './backends.js';
import { DEADLINE_MS } from './callers.js';
import { RouteKind, routerOf } from './types.js';
import type { Breach, Call, Disturbance, Leaving, Run } from './types.js';

/** Everything that was seen. */
export interface Seen {
  calls: readonly Call[];
  runs: readonly Run[];
  /** Spans of disturbance by router name. */
  disturbances: ReadonlyMap<string, readonly Disturbance[]>;
  /** Spans in which the store or a way to it was disturbed. */
  storeDisturbances: readonly Disturbance[];
  leavings: readonly Leaving[];
}

/** Time after which a leaving server gets no new work, as the platform's deployments state it. */
const LEAVING_BOUND_MS = 2500;
/** Time after a disturbance in which a router may still not know better: the notice time of its settings. */
const NOTICE_MS = 3000;

/** A request may take this much longer than its deadline: the way, and a loaded machine. */
const LATE_MS = 1000;
/** Callers that a router takes over from a pause see it this much later. */
const AFTER_DISTURBANCE_MS = 1000;
/** Statuses that say that the request has not run and never will. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
const SINGLE: readonly RouteKind[] = [RouteKind.Once, RouteKind.Talk];

function wholeBody({ attemptId, kind, path }: Call): string {
  if (kind === RouteKind.Once || kind === RouteKind.Any) return answerBody(attemptId, path);
  return Array.from({ length: STREAM_EVENTS }, (_none, index) =>
    streamEvent(attemptId, index + 1),
  ).join('');
}

function checkAnswer(call: Call): string | undefined {
  const { status, headers, body, whole, attemptId } = call;
  if (status !== 200) return undefined;
  if (headers['response-signature'] !== 'signed') return 'success without signature';
  if (headers['attempt-id'] !== attemptId) return 'answer of another request';
  const right = wholeBody(call);
  if (whole && body !== right)
    return `whole answer of ${body.length} bytes instead of ${right.length}`;
  return right.startsWith(body) ? undefined : 'bytes that are not of this answer';
}

function checkDenied({ status, path }: Call): string | undefined {
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
function meets(
  spans: readonly Disturbance[],
  { fromMs, untilMs }: Disturbance,
  afterMs: number,
): boolean {
  return spans.some((span) => span.fromMs <= untilMs && span.untilMs + afterMs >= fromMs);
}

/** Disturbances of the router that took a call. */
function routerSpans(seen: Seen, call: Call): readonly Disturbance[] {
  return seen.disturbances.get(routerOf(call.router)) ?? [];
}

/** Whether the router of a call was disturbed while it was open. */
function wasDisturbed(seen: Seen, call: Call): boolean {
  const open = { fromMs: call.sentAtMs, untilMs: call.endedAtMs };
  return meets(routerSpans(seen, call), open, AFTER_DISTURBANCE_MS);
}

function checkTime(seen: Seen, call: Call): string | undefined {
  const tookMs = call.endedAtMs - call.sentAtMs;
  if (tookMs <= DEADLINE_MS + LATE_MS || wasDisturbed(seen, call)) return undefined;
  return `ended after ${Math.round(tookMs)} ms`;
}

/** A router that runs answers each plain request that it passed on, also while it shuts down. */
function checkCut(seen: Seen, call: Call, runs: number): string | undefined {
  const plain = call.kind === RouteKind.Once || call.kind === RouteKind.Any;
  if (!plain || call.status !== undefined || runs === 0 || wasDisturbed(seen, call))
    return undefined;
  return 'connection closed without an answer after the request ran';
}

/** Work that a leaving server got after its bound, from a router that could know. */
export function findWorkAfterLeaving(seen: Seen): Breach[] {
  const calls = new Map(seen.calls.map((call) => [call.attemptId, call]));
  return seen.leavings.flatMap(({ server, fromMs, untilMs }) =>
    seen.runs.flatMap((run) => {
      const call = calls.get(run.attemptId);
      const late = call !== undefined && call.sentAtMs > fromMs + LEAVING_BOUND_MS;
      if (run.server !== server || !late || run.atMs > untilMs) return [];
      const excused = [routerSpans(seen, call), seen.storeDisturbances].some((spans) =>
        meets(spans, { fromMs, untilMs: run.atMs }, NOTICE_MS),
      );
      if (excused) return [];
      const detail = `${server}, ${Math.round(run.atMs - fromMs)} ms later (${call.attemptId} at ${call.router})`;
      return [{ promise: 'a leaving server gets no new work', detail }];
    }),
  );
}

/** All promises about single requests that were broken. */
export function findBreaches(seen: Seen): Breach[] {
  const counts = countRuns(seen.runs);
  return seen.calls.flatMap((call) => {
    const runs = counts.get(call.attemptId) ?? 0;
    const single = SINGLE.includes(call.kind);
    const notRun = call.status !== undefined && NOT_RUN_STATUSES.has(call.status);
    const found: [string, string | undefined][] = [
      ['whole answers', checkAnswer(call)],
      ['nothing allowed is denied', checkDenied(call)],
      ['rejections say when to come back', checkRetryAfter(call)],
      ['requests end in time', checkTime(seen, call)],
      ['answers are not cut', checkCut(seen, call, runs)],
      ['at most one run', single && runs > 1 ? `${runs} runs` : undefined],
      ['not run is true', single && notRun && runs > 0 ? `${call.status}, yet ran` : undefined],
    ];
    return found.flatMap(([promise, detail]) =>
      detail === undefined
        ? []
        : [{ promise, detail: `${detail} (${call.attemptId} at ${call.router})` }],
    );
  });
}
