/** Writes progress to standard error and reads and writes files. */
import { mkdir, readFile, writeFile } from 'node:fs/promises';
import { dirname } from 'node:path';
import type { RunResult } from '../run/index.js';

const CLEAR_LINE = '\r\u001b[K';

/** Writes progress to standard error: updates one line on a terminal, otherwise writes a line per update. */
export function createProgress(label: string): { show: (text: string) => void; end: () => void } {
  const { stderr } = process;
  const startMs = performance.now();
  return {
    show: (text) => {
      const seconds = ((performance.now() - startMs) / 1000).toFixed(0);
      stderr.write(`${stderr.isTTY ? CLEAR_LINE : ''}${label} ${seconds} s: ${text}`);
      if (!stderr.isTTY) stderr.write('\n');
    },
    end: () => {
      if (stderr.isTTY) stderr.write('\n');
    },
  };
}

/** Writes a file and creates its parent directories. */
export async function writeOutput(path: string, text: string): Promise<void> {
  await mkdir(dirname(path), { recursive: true });
  await writeFile(path, text);
}

/** Reads a result file without validating it. */
export async function readResult(path: string): Promise<RunResult> {
  return JSON.parse(await readFile(path, 'utf8')) as RunResult;
}
