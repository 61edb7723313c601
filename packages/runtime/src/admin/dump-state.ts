/** Turns a process's state into plain JSON data and redacts secrets. */

/** Stands in place of a secret. */
const REDACTED = '[redacted]';

/** Words in the name of a member whose text is secret. */
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

function wordsOf(name: string): string[] {
  const parts = name.replace(/([a-z0-9])([A-Z])/g, '$1 $2').split(/[^A-Za-z0-9]+/);
  return parts.map((word) => word.toLowerCase().replace(/s$/, ''));
}

/** Numbers under a secret's name are counts, for example of tokens. */
function isSecret(name: string, value: unknown): boolean {
  if (['number', 'boolean', 'undefined'].includes(typeof value) || value === null) return false;
  return wordsOf(name).some((word) => SECRET_WORDS.has(word));
}

type Visit = (value: unknown) => unknown;

function dumpMembers(entries: Iterable<[string, unknown]>, visit: Visit): Record<string, unknown> {
  const members = [...entries].map(([name, value]): [string, unknown] => [
    name,
    isSecret(name, value) ? REDACTED : visit(value),
  ]);
  return Object.fromEntries(members);
}

function dumpMap(map: Map<unknown, unknown>, visit: Visit): unknown {
  const entries = [...map.entries()];
  if (entries.every(([key]) => typeof key !== 'object')) {
    return dumpMembers(
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
  return dumpMembers(Object.entries(value), visit);
}

/** Copies state into JSON data: maps become objects, sets arrays; members named like a key, secret or token are redacted. */
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
