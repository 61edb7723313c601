/** What the parts of the soak share. */

/** A span in which a process or a link was disturbed, in steady milliseconds. */
export interface TimeSpan {
  fromMs: number;
  /** Infinite while it lasts. */
  untilMs: number;
}

/** What a caller asked for. */
export const RouteKind = {
  /** May run once at most. */
  Unsafe: 'once',
  /** May run more than once. */
  Safe: 'any',
  /** A stream that may be resumed. */
  ResumableStream: 'stream',
  /** A stream that may run once at most. */
  NonResumableStream: 'talk',
} as const;
export type RouteKind = (typeof RouteKind)[keyof typeof RouteKind];

/** Name of one process of a router: what it has seen can be told from what the next one has. */
export function formatProcessName(router: string, incarnation: number): string {
  return `${router}#${incarnation}`;
}

/** Name of the router that a process belongs to. */
export function parseRouterName(processName: string): string {
  return processName.slice(0, processName.lastIndexOf('#'));
}

/** One request as its caller saw it. */
export interface Call {
  attemptId: string;
  kind: RouteKind;
  path: string;
  /** Process that it was sent to. */
  routerProcess: string;
  sentAtMs: number;
  endedAtMs: number;
  /** Undefined where no answer came. */
  status: number | undefined;
  headers: Record<string, string | string[] | undefined>;
  body: string;
  /** False where the connection ended in the middle of the answer. */
  complete: boolean;
}

/** A run at a backend server. */
export interface Run {
  attemptId: string;
  server: string;
  atMs: number;
}

/** Something that must not happen, and did. */
export interface Breach {
  promise: string;
  detail: string;
}

/** A backend server that left, or said that it leaves, and the time until it was back. */
export interface ServerDeparture extends TimeSpan {
  server: string;
}

/** Opens a span that lasts until the returned function is called. */
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
