/** Which requests of a plain service may run more than once. */
import type { Service } from '@kingcupsill/core';

const IDEMPOTENT_METHODS = new Set(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'TRACE']);

/** Applies the first route rule that matches, else HTTP's own meaning of the method. */
export function isIdempotent(service: Service, method: string, path: string): boolean {
  const rule = service.routes?.find(
    (route) =>
      (route.method === '*' || route.method === method) && path.startsWith(route.pathPrefix),
  );
  return rule ? rule.idempotent : IDEMPOTENT_METHODS.has(method);
}
