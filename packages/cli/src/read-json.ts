/** Reading of JSON from a file or standard input. */
import { readFile } from 'node:fs/promises';
import { text } from 'node:stream/consumers';

/** Name that stands for standard input. */
const STANDARD_INPUT = '-';

export type ReadJsonOutcome = { ok: true; value: unknown } | { ok: false; message: string };

/** Reads and parses a file; `-` is standard input. */
export const readJson = async (file: string): Promise<ReadJsonOutcome> => {
  try {
    const source =
      file === STANDARD_INPUT ? await text(process.stdin) : await readFile(file, 'utf8');
    return { ok: true, value: JSON.parse(source) as unknown };
  } catch (err) {
    return { ok: false, message: `${file}: ${err instanceof Error ? err.message : String(err)}` };
  }
};
