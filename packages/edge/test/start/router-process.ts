/** Real router process for tests of its start and its signals. */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { Readable } from 'node:stream';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { SETTINGS_VARIABLE } from '@kingcupsill/prepared-platform';
import { findFreePort } from '../standins/free-port.js';

const ENTRY_POINT = fileURLToPath(new URL('../../dist/bin/edge.js', import.meta.url));
const WAIT_TIMEOUT_MS = 20_000;
const POLL_MS = 10;

export interface RouterExit {
  code: number | null;
  signal: NodeJS.Signals | null;
}

export interface RouterProcess {
  pid: number;
  send(signal: NodeJS.Signals): void;
  /** Names of the events in its log, in order. */
  events(): string[];
  errorOutput(): string;
  /** Closes the pipe from which its standard error is read. */
  closeErrorOutput(): void;
  /** Resolves when there is a line on standard error. */
  waitForErrorOutput(): Promise<void>;
  /** Resolves when the log has the event; rejects if the process ends before. */
  waitForEvent(event: string): Promise<void>;
  exited: Promise<RouterExit>;
}

export interface RouterProcessOptions {
  settingsFile: string;
  /** Arguments of Node, before the script. */
  nodeArguments?: string[];
  /** @default the compiled entry point */
  entryPoint?: string;
  /** Limit of its file descriptors. */
  maxFds?: number;
  /** Arguments of the router, in place of the variable with the settings file. */
  routerArguments?: string[];
  /** File descriptor of the log, in place of a pipe that is read. */
  log?: number;
}

export type StartRouter = (options: RouterProcessOptions) => RouterProcess;

async function createAddress(): Promise<string> {
  return `127.0.0.1:${await findFreePort()}`;
}

/** Text of complete settings, by section; nothing listens on the store's address. */
export async function createSettingsText(): Promise<string> {
  return [
    ['[process]', 'id = router-1', 'zone = z1', 'zone_regions = z1=r1'],
    [
      '[callers]',
      `address = ${await createAddress()}`,
      `readiness_address = ${await createAddress()}`,
    ],
    ['[peers]', `address = ${await createAddress()}`],
    ['[admin]', `address = ${await createAddress()}`],
    ['[store]', `address = ${await createAddress()}`, 'heartbeat_ms = 1200', 'notice_ms = 2500'],
    ['[shutdown]', 'grace_s = 4'],
    ['[repeats]', 'ratio = 0.2', 'burst = 50', 'window_s = 10'],
    ['[shares]', 'window_s = 4', ''],
  ]
    .flat()
    .join('\n');
}

/** Runs a test with a directory and ends the processes that it started. */
export async function withProcesses(
  run: (dir: string, start: StartRouter) => Promise<void>,
): Promise<void> {
  const dir = await mkdtemp(join(tmpdir(), 'kingcupsill-start-'));
  const started: { kill: () => void; exited: Promise<unknown> }[] = [];
  try {
    await run(dir, (options) => {
      const { process: routerProcess, kill } = startRouter(options);
      started.push({ kill, exited: routerProcess.exited });
      return routerProcess;
    });
  } finally {
    started.forEach(({ kill }) => kill());
    await Promise.all(started.map(({ exited }) => exited));
    await rm(dir, { recursive: true });
  }
}

function startRouter(options: RouterProcessOptions) {
  const { settingsFile, nodeArguments = [], routerArguments = [], log = 'pipe' } = options;
  const { entryPoint = ENTRY_POINT, maxFds } = options;
  const settingsEnv = routerArguments.length === 0 ? { [SETTINGS_VARIABLE]: settingsFile } : {};
  const command = [process.execPath, ...nodeArguments, entryPoint, ...routerArguments];
  const [file, ...args] =
    maxFds === undefined
      ? command
      : ['/bin/sh', '-c', `ulimit -n ${maxFds}; exec "$@"`, 'sh', ...command];
  const child = spawn(file!, args, {
    env: { PATH: process.env.PATH, ...settingsEnv },
    stdio: ['ignore', log, 'pipe'] as ['ignore', 'pipe', 'pipe'],
  });
  const output = { log: '', errors: '' };
  (child.stdout as Readable | null)?.on('data', (chunk: Buffer) => {
    output.log += chunk.toString();
  });
  child.stderr.on('data', (chunk: Buffer) => {
    output.errors += chunk.toString();
  });
  let exit: RouterExit | undefined;
  const exited = once(child, 'close').then(([code, signal]) => {
    exit = { code: code as number | null, signal: signal as NodeJS.Signals | null };
    return exit;
  });
  const events = (): string[] =>
    output.log
      .split('\n')
      .slice(0, -1)
      .map((line) => (JSON.parse(line) as { event: string }).event);

  async function waitFor(expected: string, isMet: () => boolean): Promise<void> {
    const deadline = performance.now() + WAIT_TIMEOUT_MS;
    while (!isMet()) {
      const state = `${JSON.stringify(exit)} ${output.log} ${output.errors}`;
      if (exit !== undefined) throw new Error(`the router ended before ${expected}: ${state}`);
      if (performance.now() > deadline) throw new Error(`no ${expected}: ${state}`);
      await delay(POLL_MS);
    }
  }

  const routerProcess: RouterProcess = {
    pid: child.pid!,
    send: (signal) => child.kill(signal),
    events,
    errorOutput: () => output.errors,
    closeErrorOutput: () => child.stderr.destroy(),
    waitForErrorOutput: () => waitFor('error output', () => output.errors.includes('\n')),
    waitForEvent: (event) => waitFor(event, () => events().includes(event)),
    exited,
  };
  return { process: routerProcess, kill: () => child.kill('SIGKILL') };
}
