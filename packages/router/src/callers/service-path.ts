/** Parsing of the URL of a request to a plain service. */

const SERVICES_PREFIX = '/services/';

/** Service and remaining path of a request. */
export interface ServicePath {
  /** Name of the service, empty if the path contains none. */
  service: string;
  /** Path and query sent to the backend server, starting with `/`. */
  path: string;
}

/** Splits `/services/{name}/rest?query`. */
export function parseServicePath(url: string): ServicePath {
  const rest = url.slice(SERVICES_PREFIX.length);
  const nameEnd = rest.search(/[/?]|$/);
  const tail = rest.slice(nameEnd);
  return {
    service: decodePart(rest.slice(0, nameEnd)),
    path: tail.startsWith('/') ? tail : `/${tail}`,
  };
}

/** Decodes percent-encoding. Returns an empty string if it is invalid. */
function decodePart(part: string): string {
  try {
    return decodeURIComponent(part);
  } catch {
    return '';
  }
}
