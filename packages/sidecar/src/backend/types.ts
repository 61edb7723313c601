/** Types of the backend server client. */
import type { ResponseBuffer } from '../response/types.js';

/** Kind of backend server. */
export const BackendKind = {
  /** Model engine, which can list, cancel and resume requests. */
  Engine: 'engine',
  /** Any HTTP server. */
  Plain: 'plain',
} as const;
export type BackendKind = (typeof BackendKind)[keyof typeof BackendKind];

/** Options of the client. */
export interface BackendClientOptions {
  /** Base URL of the backend server. */
  url: string;
  kind: BackendKind;
  /** Maximum number of times one response is resumed. @default 3 */
  maxResumes?: number;
  /** Delay before each resume, in milliseconds. @default 100 */
  resumeDelayMs?: number;
}

/** Request to the backend server. */
export interface BackendRequest {
  /** Attempt id, sent as the request id. */
  attempt: string;
  method: string;
  path: string;
  headers: Record<string, string | string[]>;
  body: Buffer;
}

/** Outcome of a run. */
export const RunEnd = {
  /** The complete response was received. */
  Whole: 'whole',
  /** The request ran or may have run, but its response is incomplete. */
  Broken: 'broken',
  /** The backend server never received the request. */
  NotRun: 'not-run',
} as const;
export type RunEnd = (typeof RunEnd)[keyof typeof RunEnd];

/** Client of one backend server. */
export interface BackendClient {
  /** Runs the request and writes its response to the buffer. Never rejects. */
  run(req: BackendRequest, response: ResponseBuffer): Promise<RunEnd>;
  /** Cancels a running request, which ends its `run` call. */
  cancel(attempt: string): Promise<void>;
  /**
   * Cancels requests left running by earlier sidecar incarnations.
   * Resolves with true once none is running; a plain server only has to accept connections.
   */
  sync(): Promise<boolean>;
  close(): Promise<void>;
}
