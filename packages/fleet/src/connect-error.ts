/** Tells errors of HTTP calls that certainly did not reach the peer. */

/** Codes of errors that come before a byte of the request has left this process. */
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH']);

/** Whether the call failed before any of it was sent, so that it has not run. */
export function isConnectError(err: unknown): boolean {
  return NOT_SENT_CODES.has(String((err as { code?: unknown } | null)?.code ?? ''));
}
