/** Reads JSON from a file or standard input. */
import { readFile } from 'node:fs/promises';
import { text } from 'node:stream/consumers';

/** File argument that selects standard input. */
const STDIN_ARGUMENT = '-';

export type ReadJsonOutcome = { ok: true; value: unknown } | { ok: false; message: string };

/** Reads and parses a JSON file; `-` reads standard input. */
export const readJson = async (file: string): Promise<ReadJsonOutcome> => {
  try {
    const content =
      file === STDIN_ARGUMENT ? await text(process.stdin) : await readFile(file, 'utf8');
    return { ok: true, value: JSON.parse(content) as unknown };
  } catch (err) {
    return { ok: false, message: `${file}: ${err instanceof Error ? err.message : String(err)}` };
  }
};
