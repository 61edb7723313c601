/** Idempotency of requests to plain services. */
import type { Service } from '@kingcupsill/core';

const IDEMPOTENT_METHODS = new Set(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'TRACE']);

/** Returns whether a request may run more than once: by the first matching route rule, else by HTTP method. */
export function isIdempotent(service: Service, method: string, path: string): boolean {
  const rule = service.routes?.find(
    (route) =>
      (route.method === '*' || route.method === method) && path.startsWith(route.pathPrefix),
  );
  return rule ? rule.idempotent : IDEMPOTENT_METHODS.has(method);
}
