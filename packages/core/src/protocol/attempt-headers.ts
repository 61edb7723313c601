/** Names of HTTP headers and trailers of the attempts interface between routers and sidecars. */
export const AttemptHeader = {
  /** Token derived from the fleet key. */
  Token: 'kc-token',
  /** Grant number, `credit` or `push`. */
  Grant: 'kc-grant',
  Account: 'kc-account',
  Service: 'kc-service',
  /** HTTP method of the request to the backend server. */
  Method: 'kc-method',
  /** Path of the request to the backend server. */
  Path: 'kc-path',
  /** Expected slot time in milliseconds. */
  Estimate: 'kc-estimate-ms',
  /** Incarnation of the router that dispatched the attempt. */
  RouterIncarnation: 'kc-router-incarnation',
  /** Incarnation of the sidecar that the attempt was sent to. */
  SidecarIncarnation: 'kc-sidecar-incarnation',
  /** Status code of the backend server's response. */
  Status: 'kc-status',
  /** Reason for refusing an attempt; present only if the attempt has not run and never will. */
  NotRun: 'kc-not-run',
  /** Trailer: `1` after the last byte of a complete response. */
  Complete: 'kc-complete',
  /** Trailer: slot time used, in milliseconds. */
  SlotMs: 'kc-slot-ms',
} as const;

/** Prefix of all headers internal to the fleet; they are never forwarded to callers or backend servers. */
export const FLEET_HEADER_PREFIX = 'kc-';

/** Header with the request id, sent to the backend server and returned in the response. */
export const REQUEST_ID_HEADER = 'x-request-id';
