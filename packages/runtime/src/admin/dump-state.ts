/** Conversion of a process's state to plain JSON data, with secrets redacted. */

/** Replacement text for secrets. */
const REDACTED = '[redacted]';

/** Words in property names that mark a value as secret. */
const SECRET_WORDS = new Set([
  'authorization',
  'cookie',
  'credential',
  'key',
  'passphrase',
  'password',
  'secret',
  'token',
]);

function splitWords(name: string): string[] {
  const parts = name.replace(/([a-z0-9])([A-Z])/g, '$1 $2').split(/[^A-Za-z0-9]+/);
  return parts.map((word) => word.toLowerCase().replace(/s$/, ''));
}

/** Returns whether the property's name marks it as secret. Numbers are not: they are counts, for example of tokens. */
function isSecret(name: string, value: unknown): boolean {
  if (['number', 'boolean', 'undefined'].includes(typeof value) || value === null) return false;
  return splitWords(name).some((word) => SECRET_WORDS.has(word));
}

type Visit = (value: unknown) => unknown;

function dumpProperties(
  entries: Iterable<[string, unknown]>,
  visit: Visit,
): Record<string, unknown> {
  const properties = [...entries].map(([name, value]): [string, unknown] => [
    name,
    isSecret(name, value) ? REDACTED : visit(value),
  ]);
  return Object.fromEntries(properties);
}

function dumpMap(map: Map<unknown, unknown>, visit: Visit): unknown {
  const entries = [...map.entries()];
  if (entries.every(([key]) => typeof key !== 'object')) {
    return dumpProperties(
      entries.map(([key, value]) => [String(key), value]),
      visit,
    );
  }
  return entries.map(([key, value]) => [visit(key), visit(value)]);
}

function dumpObject(value: object, visit: Visit): unknown {
  if (value instanceof Map) return dumpMap(value, visit);
  if (value instanceof Set) return [...value].map(visit);
  if (Array.isArray(value)) return value.map(visit);
  if (value instanceof Date) return value;
  if (value instanceof Error) return value.message;
  if (ArrayBuffer.isView(value)) return `[${value.byteLength} bytes]`;
  return dumpProperties(Object.entries(value), visit);
}

/**
 * Copies state to JSON data. Maps become objects, or arrays of pairs if a key is an object. Sets become arrays. Properties named
 * like secrets are redacted.
 */
export function dumpState(state: unknown): unknown {
  const ancestors = new Set<object>();

  function visit(value: unknown): unknown {
    if (typeof value === 'bigint' || typeof value === 'symbol') return String(value);
    if (typeof value === 'function') return undefined;
    if (typeof value !== 'object' || value === null) return value;
    if (ancestors.has(value)) return '[circular]';
    ancestors.add(value);
    const dumped = dumpObject(value, visit);
    ancestors.delete(value);
    return dumped;
  }

  return visit(state);
}
