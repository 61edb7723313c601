/** Options of measurement scripts: `--name value`, all numbers. */
import { parseArgs } from 'node:util';

/** Reads numeric options from the command line over the defaults given. */
export function numericOptions<T extends Record<string, number>>(defaults: T): T {
  const options = Object.fromEntries(
    Object.keys(defaults).map((name) => [name, { type: 'string' as const }]),
  );
  const { values } = parseArgs({ options });
  const given = Object.entries(values).map(([name, value]) => [name, Number(value)]);
  return { ...defaults, ...(Object.fromEntries(given) as Partial<T>) };
}
