/** Runs the compiled command line in a child process. */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { text } from 'node:stream/consumers';
import { fileURLToPath } from 'node:url';

const BINARY = fileURLToPath(new URL('../../dist/bin/kingcupsill.js', import.meta.url));

export interface BinaryResult {
  code: number;
  stdout: string;
  stderr: string;
}

export interface BinaryInput {
  env?: Record<string, string>;
  stdin?: string;
}

export const runBinary = async (args: string[], input: BinaryInput = {}): Promise<BinaryResult> => {
  const child = spawn(process.execPath, [BINARY, ...args], {
    env: { PATH: process.env.PATH, NODE_ENV: 'production', ...input.env },
  });
  child.stdin.end(input.stdin ?? '');
  const [stdout, stderr] = await Promise.all([
    text(child.stdout),
    text(child.stderr),
    once(child, 'close'),
  ]);
  return { code: child.exitCode ?? -1, stdout, stderr };
};
