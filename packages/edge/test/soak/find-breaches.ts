/** Checks the fleet's promises against the observations of callers and backend servers. */
import { overlaps, parseRouterName, RouteKind } from './types.js';
import type {
  Breach,
  Call,
  ProcessRecord,
  RouterDisruption,
  Run,
  ServerSpan,
  TimeSpan,
} from './types.js';
import { answerBody, parseWork, SOFTWARE_VERSIONS, streamEvent } from './workload.js';

/** Observations of one soak run. */
export interface Observations {
  calls: readonly Call[];
  runs: readonly Run[];
  /** Spans during which a router's process was disrupted, by router name. */
  routerDisruptions: ReadonlyMap<string, readonly RouterDisruption[]>;
  processes: readonly ProcessRecord[];
  /** Spans during which connections to a server were disrupted or reset. */
  serverDisruptions: readonly ServerSpan[];
  /** Time from SIGTERM within which a process ends its requests. */
  graceMs: number;
  /** Spans during which the store or a connection path to it was disrupted. */
  storeDisruptions: readonly TimeSpan[];
  departures: readonly ServerSpan[];
}

/** Time after its departure until which a server may receive new work, as specified by the platform's deployments. */
const DEPARTURE_GRACE_MS = 2500;
/** Time after a disruption during which a router may still act on outdated state: the notice time of its settings. */
const NOTICE_MS = 3000;

/** Maximum overrun of a request's deadline; covers network latency and a loaded machine. */
const MAX_OVERRUN_MS = 1000;
/** Time after a disruption during which callers may still be affected, such as those accepted after a pause. */
const RECOVERY_MS = 1000;
/** End of a wrong answer that a breach quotes. */
const MAX_QUOTED_CHARS = 240;
/** Statuses that state that the request has not run and never will. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
const AT_MOST_ONCE_KINDS: readonly RouteKind[] = [RouteKind.Unsafe, RouteKind.NonResumableStream];

/** Returns the body of an answer; a stream has all of its events from one version of the servers' software. */
function expectedBodies({ attemptId, kind, path }: Call): string[] {
  if (kind === RouteKind.Unsafe || kind === RouteKind.Safe) return [answerBody(attemptId, path)];
  const { events } = parseWork(path);
  return SOFTWARE_VERSIONS.map((version) =>
    Array.from({ length: events }, (_none, index) =>
      streamEvent(attemptId, index + 1, version, events),
    ).join(''),
  );
}

function checkAnswer(call: Call): string | undefined {
  const { status, headers, body, complete, attemptId } = call;
  if (status !== 200) return undefined;
  if (headers['response-signature'] !== 'signed') return 'status 200 without a response signature';
  if (headers['attempt-id'] !== attemptId) return 'attempt id of another request';
  const expected = expectedBodies(call);
  if (complete && !expected.includes(body))
    return `complete answer of ${body.length} bytes does not match the expected ${expected[0]!.length} bytes: ${JSON.stringify(body.slice(-MAX_QUOTED_CHARS))}`;
  return expected.some((whole) => whole.startsWith(body))
    ? undefined
    : 'partial answer is not a prefix of the expected answer';
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

/** Returns the disruptions of the router that received a call. */
export function disruptionsOfRouter(
  observations: Observations,
  call: Call,
): readonly RouterDisruption[] {
  return observations.routerDisruptions.get(parseRouterName(call.routerProcess)) ?? [];
}

/** Returns true if the router was disrupted during the call or shortly before it. */
function wasRouterDisrupted(observations: Observations, call: Call): boolean {
  const callSpan = { fromMs: call.sentAtMs, untilMs: call.endedAtMs };
  return overlaps(disruptionsOfRouter(observations, call), callSpan, RECOVERY_MS);
}

function checkDeadline(observations: Observations, call: Call): string | undefined {
  const durationMs = call.endedAtMs - call.sentAtMs;
  if (durationMs <= call.deadlineMs + MAX_OVERRUN_MS || wasRouterDisrupted(observations, call))
    return undefined;
  return `ended after ${Math.round(durationMs)} ms`;
}

/** Reports a plain request that ran without an answer; a router that isn't disrupted answers each one, also during shutdown. */
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

/** Returns breaches for work sent to a departed server after the grace time by a router with an undisrupted view of the store. */
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
      const detail = `${server}, ${Math.round(run.atMs - fromMs)} ms after its departure (${call.attemptId} at ${call.routerProcess})`;
      return [{ promise: 'a leaving server gets no new work', detail }];
    }),
  );
}

/** Returns the breaches of all promises about individual requests. */
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
        isAtMostOnce && reportedNotRun && runCount > 0
          ? `status ${call.status}, but the request ran`
          : undefined,
      ],
    ];
    return checks.flatMap(([promise, detail]) =>
      detail === undefined
        ? []
        : [{ promise, detail: `${detail} (${call.attemptId} at ${call.routerProcess})` }],
    );
  });
}
