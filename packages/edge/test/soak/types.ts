/** Types and helpers shared by the modules of the soak test. */
import type { Behaviour } from './backends.js';

/** Time span on the clock of `performance.now()`. */
export interface TimeSpan {
  fromMs: number;
  /** Infinity while the span is open. */
  untilMs: number;
}

/** Kinds of routes that callers use; the value is the first segment of the request path. */
export const RouteKind = {
  /** Plain request that may run at most once. */
  Unsafe: 'once',
  /** Plain request that may run more than once. */
  Safe: 'any',
  /** Stream that may be resumed at another server. */
  ResumableStream: 'stream',
  /** Stream that may run at most once. */
  NonResumableStream: 'talk',
} as const;
export type RouteKind = (typeof RouteKind)[keyof typeof RouteKind];

/** Returns the name of a router process; each restart of a router has its own, so that observations are attributed to one process. */
export function formatProcessName(router: string, incarnation: number): string {
  return `${router}#${incarnation}`;
}

/** Returns the router's name from the name of one of its processes. */
export function parseRouterName(processName: string): string {
  return processName.slice(0, processName.lastIndexOf('#'));
}

/** Request and its result as observed by the caller. */
export interface Call {
  attemptId: string;
  kind: RouteKind;
  path: string;
  /** Name of the router process that received the request. */
  routerProcess: string;
  deadlineMs: number;
  sentAtMs: number;
  /** Time at which the last byte of the request was sent; undefined if the connection ended before. */
  lastByteAtMs: number | undefined;
  endedAtMs: number;
  /** Undefined if no response head arrived. */
  status: number | undefined;
  headers: Record<string, string | string[] | undefined>;
  body: string;
  /** False if the connection closed before the end of the answer. */
  complete: boolean;
}

/** Execution of a request at a backend server. */
export interface Run {
  attemptId: string;
  server: string;
  atMs: number;
  behaviour: Behaviour;
  /** Time at which the server sent the last byte of the answer or lost the connection; undefined while it works. */
  endedAtMs?: number;
}

/** How the soak ends a process. */
export const EndRequest = { Kill: 'kill', Stop: 'stop' } as const;
export type EndRequest = (typeof EndRequest)[keyof typeof EndRequest];

/** One process of a router, from its start to its end. */
export interface ProcessRecord {
  name: string;
  startedAtMs: number;
  /** Last request of the soak to end the process. */
  endRequest?: EndRequest;
  /** Time of the SIGTERM of a planned stop. */
  stopRequestedAtMs?: number;
  end?: { atMs: number; code: number | null; signal: NodeJS.Signals | null };
  /** Highest resident memory; 0 where the system doesn't report it. */
  peakMemoryMb: number;
}

/** Cause of a router's disruption; a process that ends by itself is none. */
export const DisruptionCause = {
  /** Kill or pause by the soak. */
  Fault: 'fault',
  PlannedStop: 'planned-stop',
} as const;
export type DisruptionCause = (typeof DisruptionCause)[keyof typeof DisruptionCause];

/** Span during which a router's process was stopped, killed, paused or starting. */
export interface RouterDisruption extends TimeSpan {
  cause: DisruptionCause;
}

/** Violation of one of the fleet's promises. */
export interface Breach {
  promise: string;
  detail: string;
}

/** Span that concerns one backend server: of a departure, or of a fault of its connections. */
export interface ServerSpan extends TimeSpan {
  server: string;
}

/** Appends an open span to `spans` and returns the function that closes it. */
export function openSpan<T extends TimeSpan>(
  spans: T[],
  fields: Omit<T, keyof TimeSpan>,
): () => void {
  const span = { ...fields, fromMs: performance.now(), untilMs: Number.POSITIVE_INFINITY } as T;
  spans.push(span);
  return () => {
    span.untilMs = performance.now();
  };
}

/** Returns true if any of the spans, extended by `recoveryMs`, overlaps the given one. */
export function overlaps(
  spans: readonly TimeSpan[],
  { fromMs, untilMs }: TimeSpan,
  recoveryMs: number,
): boolean {
  return spans.some((span) => span.fromMs <= untilMs && span.untilMs + recoveryMs >= fromMs);
}
