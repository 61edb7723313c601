/** Types of the admin server. */
import type Router from '@koa/router';
import type { Registry } from 'prom-client';
import type { Logger, LogLevel } from '../logs/types.js';

/** Whether the process can take work, with the reason when it can't. */
export type Readiness = { ok: true } | { ok: false; reason: string };

/** Options of an admin server. */
export interface AdminServerOptions {
  /** Address to listen on. @default '127.0.0.1' */
  host?: string;
  /** Port to listen on; 0 takes a free one. @default 0 */
  port?: number;
  /** Bearer token that every call must carry; required unless host is loopback. */
  token?: string;
  /** Metrics shown at `/metrics`. */
  registry: Registry;
  /** State shown at `/debug/state`; secrets in it are redacted. */
  dump: () => unknown;
  ready: () => Readiness;
  logger: Logger;
  /** Takes a new log level. @default sets the level of `logger` */
  setLogLevel?: (level: LogLevel) => void;
  /** Adds routes of the binary. */
  routes?: (router: Router) => void;
}

/** A listening admin server. */
export interface AdminServer {
  port: number;
  close(): Promise<void>;
}
