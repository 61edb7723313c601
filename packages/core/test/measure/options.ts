/** Command-line options of measurement scripts in the form `--name value`; all values are numbers. */
import { parseArgs } from 'node:util';

/** Returns the numeric options from the command line, with `defaults` for those not given. */
export function numericOptions<T extends Record<string, number>>(defaults: T): T {
  const options = Object.fromEntries(
    Object.keys(defaults).map((name) => [name, { type: 'string' as const }]),
  );
  const { values } = parseArgs({ options });
  const parsed = Object.entries(values).map(([name, value]) => [name, Number(value)]);
  return { ...defaults, ...(Object.fromEntries(parsed) as Partial<T>) };
}
