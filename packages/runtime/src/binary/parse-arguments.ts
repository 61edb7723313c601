/** Command line arguments that all binaries share. */
import { parseArgs } from 'node:util';

/** What the arguments ask for. */
export type ParsedArguments =
  | { kind: 'help' }
  | { kind: 'version' }
  | { kind: 'run'; configFile: string | undefined }
  | { kind: 'error'; message: string };

/** Parses arguments, without the interpreter and script names. */
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
