/** Authenticated message links between the processes of a fleet. */
export { createKeyring } from './auth/keyring.js';
export type { Keyring } from './auth/keyring.js';
export { createLinkDialer } from './dialer/create-link-dialer.js';
export { createLinkServer } from './server/create-link-server.js';
export { readTlsFiles } from './auth/read-tls-files.js';
export { CloseReason, RefusalCode } from './types.js';
export type {
  BackoffOptions,
  DialResult,
  Link,
  LinkCounters,
  LinkDialer,
  LinkDialerOptions,
  LinkHandlers,
  LinkLogger,
  LinkOptions,
  LinkServer,
  LinkServerOptions,
  LinkTls,
  Refusal,
} from './types.js';
