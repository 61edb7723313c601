/** Formatting of paths in the configuration. */

const PLAIN_SEGMENT = /^[A-Za-z0-9_-]+$/;

const formatSegment = (segment: PropertyKey, index: number): string => {
  if (typeof segment === 'number') return `[${segment}]`;
  const text = String(segment);
  if (!PLAIN_SEGMENT.test(text)) return `[${JSON.stringify(text)}]`;
  return index === 0 ? text : `.${text}`;
};

/** Formats a path, such as `accounts.kingston.services[0]` or `services["gpt-3.5"].pool`. */
export const formatPath = (segments: readonly PropertyKey[]): string =>
  segments.map(formatSegment).join('');
