/** Command line arguments common to all binaries. */
import { parseArgs } from 'node:util';

/** Command selected by the arguments, or a usage error. */
export type ParsedArguments =
  | { kind: 'help' }
  | { kind: 'version' }
  | { kind: 'run'; configFile: string | undefined }
  | { kind: 'error'; message: string };

/** Parses command line arguments. `args` doesn't include the interpreter and script names. */
export function parseArguments(args: string[]): ParsedArguments {
  try {
    const { values } = parseArgs({
      args,
      options: {
        help: { type: 'boolean', short: 'h' },
        version: { type: 'boolean', short: 'v' },
        config: { type: 'string', short: 'c' },
      },
    });
    if (values.help) return { kind: 'help' };
    if (values.version) return { kind: 'version' };
    return { kind: 'run', configFile: values.config };
  } catch (err) {
    return { kind: 'error', message: (err as Error).message.split('\n')[0]! };
  }
}
