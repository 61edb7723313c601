/** Checks the ends of processes, and the requests whose connection ended without a whole answer. */
import type { Observations } from './find-breaches.js';
import { disruptionsOfRouter } from './find-breaches.js';
import { Behaviour } from './backends.js';
import { hasEndedByItself } from './router-process.js';
import { DisruptionCause, overlaps, RouteKind } from './types.js';
import type { Breach, Call, ProcessRecord, Run } from './types.js';
import { SAFE_TIMEOUT_MS, TIMEOUT_MS } from './workload.js';

/** Reason for which a request may be cut, in a planned stop as in any other span. */
export const Excuse = {
  RouterFault: 'router-fault',
  ServerBrokeOff: 'server-broke-off',
  Deadline: 'deadline',
  /** The server still worked in the last sixth of the grace period on a request sent early. */
  EarlyRequest: 'early-request',
  /** The request wasn't passed on, and its connection ended before or just after its last byte. */
  Unread: 'unread',
} as const;
export type Excuse = (typeof Excuse)[keyof typeof Excuse];

/** Request that ended without a whole answer. */
export interface CutAnswer {
  call: Call;
  hasRun: boolean;
  /** Time from the process's SIGTERM to the last byte of the request and to the cut; infinite without a SIGTERM. */
  sentAfterStopMs: number;
  cutAfterStopMs: number;
  inStop: boolean;
  excuse: Excuse | undefined;
}

/** Time before a request in which the process must have been undisturbed. */
const CONTACT_MS = 3000;
/** Time after its last byte within which the connection of a request may end that isn't passed on. */
const LOSS_SLACK_MS = 200;
/** Time from SIGTERM until which a request counts as sent early. */
const EARLY_REQUEST_MS = 3000;
/** Time after the end of the grace period up to which a cut belongs to the stop. */
const STOP_MARGIN_MS = 1000;
const DEADLINE_TOLERANCE_MS = 100;
const BREAKING_BEHAVIOURS = new Set<Behaviour>([
  Behaviour.Break,
  Behaviour.CutHead,
  Behaviour.Reset,
  Behaviour.Spoil,
]);

function findExcuse(
  observations: Observations,
  call: Call,
  runs: readonly Run[],
  stopRequestedAtMs: number,
): Excuse | undefined {
  const callSpan = { fromMs: call.sentAtMs, untilMs: call.endedAtMs };
  const faults = disruptionsOfRouter(observations, call).filter(
    ({ cause }) => cause === DisruptionCause.Fault,
  );
  const timeoutMs = Math.min(
    call.deadlineMs,
    call.kind === RouteKind.Safe ? SAFE_TIMEOUT_MS : TIMEOUT_MS,
  );
  const { graceMs, serverDisruptions } = observations;
  const hasBrokenOff = runs.some(
    ({ behaviour, server }) =>
      BREAKING_BEHAVIOURS.has(behaviour) ||
      overlaps(
        serverDisruptions.filter((span) => span.server === server),
        callSpan,
        0,
      ),
  );
  const worksLate = runs.some(
    ({ endedAtMs = Infinity }) => endedAtMs >= stopRequestedAtMs + (graceMs * 5) / 6,
  );
  const sentAtMs = call.lastByteAtMs ?? Infinity;
  const excuses: [Excuse, boolean][] = [
    [Excuse.RouterFault, overlaps(faults, callSpan, CONTACT_MS)],
    [Excuse.ServerBrokeOff, hasBrokenOff],
    [Excuse.Deadline, call.endedAtMs >= call.sentAtMs + timeoutMs - DEADLINE_TOLERANCE_MS],
    [Excuse.EarlyRequest, worksLate && sentAtMs <= stopRequestedAtMs + EARLY_REQUEST_MS],
    [Excuse.Unread, runs.length === 0 && call.endedAtMs <= sentAtMs + LOSS_SLACK_MS],
  ];
  return excuses.find(([, applies]) => applies)?.[0];
}

/** Returns the requests that ended without a whole answer, those outside of planned stops included. */
export function findCutAnswers(observations: Observations): CutAnswer[] {
  const runsById = new Map<string, Run[]>();
  observations.runs.forEach((run) => {
    runsById.set(run.attemptId, [...(runsById.get(run.attemptId) ?? []), run]);
  });
  const processes = new Map(observations.processes.map((record) => [record.name, record]));
  const cutCalls = observations.calls.filter(
    ({ status, complete }) => status === undefined || (status === 200 && !complete),
  );
  return cutCalls.map((call): CutAnswer => {
    const runs = runsById.get(call.attemptId) ?? [];
    const stopMs = processes.get(call.routerProcess)?.stopRequestedAtMs ?? Number.NEGATIVE_INFINITY;
    const cutAfterStopMs = call.endedAtMs - stopMs;
    const inStop = cutAfterStopMs >= 0 && cutAfterStopMs <= observations.graceMs + STOP_MARGIN_MS;
    return {
      call,
      hasRun: runs.length > 0,
      sentAfterStopMs: (call.lastByteAtMs ?? Infinity) - stopMs,
      cutAfterStopMs,
      inStop,
      excuse: findExcuse(observations, call, runs, stopMs),
    };
  });
}

/** Returns a breach for each request that a planned stop cut without an excuse. */
export function findCutsInStops(cutAnswers: readonly CutAnswer[]): Breach[] {
  return cutAnswers
    .filter(({ inStop, excuse }) => inStop && excuse === undefined)
    .map(({ call, hasRun, sentAfterStopMs, cutAfterStopMs }) => ({
      promise: 'planned stops cut no answers',
      detail: `${call.kind}, ${hasRun ? 'passed on' : 'not passed on'}, last byte ${Math.round(sentAfterStopMs)} ms and cut ${Math.round(cutAfterStopMs)} ms after SIGTERM (${call.attemptId} at ${call.routerProcess})`,
    }));
}

/** Returns a breach for each process that ended although the soak didn't end it, and for each that exceeded `memoryLimitMb`. */
export function findProcessBreaches(
  processes: readonly ProcessRecord[],
  memoryLimitMb: number,
): Breach[] {
  const ownEnds = processes.filter(hasEndedByItself).map((record) => {
    const { name, startedAtMs, stopRequestedAtMs, end } = record;
    const inStop = stopRequestedAtMs === undefined ? '' : ', in a planned stop';
    const cause = end!.signal ?? `exit code ${end!.code}`;
    return {
      promise: 'no process ends by itself',
      detail: `${name}: ${cause} ${Math.round(end!.atMs - startedAtMs)} ms after its start${inStop}`,
    };
  });
  const exceeding = processes
    .filter(({ peakMemoryMb }) => peakMemoryMb > memoryLimitMb)
    .map(({ name, peakMemoryMb }) => ({
      promise: 'memory stays within its limit',
      detail: `${name}: ${Math.round(peakMemoryMb)} of ${memoryLimitMb} MB`,
    }));
  return [...ownEnds, ...exceeding];
}
