/** Splits the path of a call to a plain service. */

const SERVICES_PREFIX = '/services/';

/** A call's service and what is left of its path. */
export interface ServicePath {
  /** Empty when the path names none. */
  service: string;
  /** Path and query for the backend server, starting with `/`. */
  path: string;
}

/** Splits `/services/{name}/rest?query`. */
export function parseServicePath(url: string): ServicePath {
  const rest = url.slice(SERVICES_PREFIX.length);
  const nameEnd = rest.search(/[/?]|$/);
  const tail = rest.slice(nameEnd);
  return {
    service: decode(rest.slice(0, nameEnd)),
    path: tail.startsWith('/') ? tail : `/${tail}`,
  };
}

/** A part that is not valid percent-encoding names nothing. */
function decode(part: string): string {
  try {
    return decodeURIComponent(part);
  } catch {
    return '';
  }
}
