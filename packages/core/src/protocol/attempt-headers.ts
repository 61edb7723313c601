/** HTTP header and trailer names of the attempts interface between routers and sidecars. */
export const AttemptHeader = {
  /** Token derived from the fleet key. */
  Token: 'kc-token',
  /** Grant number, `credit` or `push`. */
  Grant: 'kc-grant',
  Account: 'kc-account',
  Service: 'kc-service',
  /** Method and path for the backend server. */
  Method: 'kc-method',
  Path: 'kc-path',
  /** Expected slot time in milliseconds. */
  Estimate: 'kc-estimate-ms',
  /** Incarnation of the router that dispatched the attempt. */
  RouterIncarnation: 'kc-router-incarnation',
  /** Incarnation of the sidecar that the attempt was sent to. */
  SidecarIncarnation: 'kc-sidecar-incarnation',
  /** Status of the backend server's answer. */
  Status: 'kc-status',
  /** Why an attempt was refused; present only if it certainly has not run and never will. */
  NotRun: 'kc-not-run',
  /** Trailer: `1` after the last byte of a whole answer. */
  Complete: 'kc-complete',
  /** Trailer: slot time used, in milliseconds. */
  SlotMs: 'kc-slot-ms',
} as const;

/** Prefix of all headers that the fleet's processes exchange; never passed to callers or backend servers. */
export const FLEET_HEADER_PREFIX = 'kc-';

/** Names the request towards a backend server; the answer carries it back. */
export const REQUEST_ID_HEADER = 'x-request-id';
