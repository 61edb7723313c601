/** Types and helpers shared by the modules of the soak test. */

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
  sentAtMs: number;
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
}

/** Violation of one of the fleet's promises. */
export interface Breach {
  promise: string;
  detail: string;
}

/** Span during which a backend server was draining or deregistered. */
export interface ServerDeparture extends TimeSpan {
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
