/** Types of the admin server. */
import type Router from '@koa/router';
import type { Registry } from 'prom-client';
import type { Logger, LogLevel } from '../logs/types.js';

/** Whether the process accepts work, with the reason if it doesn't. */
export type Readiness = { ok: true } | { ok: false; reason: string };

/** Options of an admin server. */
export interface AdminServerOptions {
  /** Address to listen on. @default '127.0.0.1' */
  host?: string;
  /** Port to listen on; 0 selects a free port. @default 0 */
  port?: number;
  /** Bearer token required for every request; must be set unless the host is loopback. */
  token?: string;
  /** Metrics served at `/metrics`. */
  registry: Registry;
  /** Returns the state served at `/debug/state`, with secrets redacted. */
  dump: () => unknown;
  /** Returns the readiness served at `/readyz`. */
  ready: () => Readiness;
  logger: Logger;
  /** Applies a log level set through `/debug/log-level`. @default sets the level of `logger` */
  setLogLevel?: (level: LogLevel) => void;
  /** Adds routes that are specific to the binary. */
  routes?: (router: Router) => void;
}

/** A listening admin server. */
export interface AdminServer {
  port: number;
  close(): Promise<void>;
}
