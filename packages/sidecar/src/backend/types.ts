/** Client of the backend server beside the sidecar. */
import type { ResponseBuffer } from '../response/types.js';

/** Kind of backend server. */
export const BackendKind = {
  /** Model engine: can list, cancel and resume its requests. */
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
  /** Times that one stream is resumed. @default 3 */
  maxResumes?: number;
  /** Pause before a resume, in milliseconds. @default 100 */
  resumeDelayMs?: number;
}

/** A request as it goes to the backend server. */
export interface BackendRequest {
  /** Attempt id; names the request at the backend server. */
  attempt: string;
  method: string;
  path: string;
  headers: Record<string, string | string[]>;
  body: Buffer;
}

/** How a run ended. */
export const RunEnd = {
  /** The whole answer arrived. */
  Whole: 'whole',
  /** It ran, or may have run, and its answer is not whole. */
  Broken: 'broken',
  /** The backend server never received it. */
  NotRun: 'not-run',
} as const;
export type RunEnd = (typeof RunEnd)[keyof typeof RunEnd];

/** Talks to one backend server. */
export interface BackendClient {
  /** Runs the request and fills the answer; never rejects. */
  run(req: BackendRequest, answer: ResponseBuffer): Promise<RunEnd>;
  /** Stops a running request; its `run` then ends. */
  cancel(attempt: string): Promise<void>;
  /** Stops what earlier sidecar incarnations left running. False when the backend server can't be asked. */
  sync(): Promise<boolean>;
  close(): Promise<void>;
}
