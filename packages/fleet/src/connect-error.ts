/** Detection of HTTP requests that failed before anything was sent. */

/** Codes of errors that occur before the first byte of a request is sent. */
const CONNECT_ERROR_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH']);

/** Returns true if the request failed while connecting, so that the peer can't have run it. */
export function isConnectError(err: unknown): boolean {
  return CONNECT_ERROR_CODES.has(String((err as { code?: unknown } | null)?.code ?? ''));
}
