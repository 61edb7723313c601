/** Keeps one router's process running as the platform does: restarts it after every end, and records each end and the memory's peak. */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { open, readFile } from 'node:fs/promises';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { SETTINGS_VARIABLE } from '@kingcupsill/prepared-platform';
import { EndRequest, formatProcessName } from './types.js';
import type { ProcessRecord } from './types.js';

export interface RouterProcess {
  /** Name of the newest process. */
  processName(): string;
  /** Starts the next process; no effect on one that runs. */
  start(): void;
  /** Sends a signal to the running process, if there is one. */
  signal(signal: NodeJS.Signals): void;
  /** Ends the process; resolves when it has ended. No process is started until `start` is called. */
  kill(): Promise<void>;
  /** Sends SIGTERM, and SIGKILL at the end of the grace period; otherwise like `kill`. */
  stop(): Promise<void>;
  close(): Promise<void>;
}

export interface RouterProcessOptions {
  name: string;
  settingsFile: string;
  logFile: string;
  graceMs: number;
  /** Time to the first SIGHUP of a process; undefined for none. */
  firstReloadDelayMs: () => number | undefined;
  /** Whether that time counts from when the process has a handler of SIGHUP, rather than from its start. */
  reloadsFromHandler: boolean;
  records: ProcessRecord[];
}

const REPOSITORY = fileURLToPath(new URL('../../../../', import.meta.url));
/** Time after which the platform starts a process that ended by itself. */
const RESTART_DELAY_MS = 300;
/** Allowance beyond the grace period for a loaded machine. */
const KILL_MARGIN_MS = 1000;
const MEMORY_CHECK_MS = 200;
const HANDLER_CHECK_MS = 5;
const KB_PER_MB = 1024;

const running = new Set<ChildProcess>();
process.once('exit', () => running.forEach((child) => child.kill('SIGKILL')));

/** Returns the words of the command that the deployment runs. */
async function readCommand(): Promise<string[]> {
  const text = await readFile(`${REPOSITORY}deploy/system.toml`, 'utf8');
  const command = /^run = "([^"]+)"$/m.exec(text)?.[1];
  if (command === undefined) throw new Error('deploy/system.toml has no command');
  return command.split(' ').slice(1);
}

/** Returns true if the process ended although the soak didn't end it, or failed in a planned stop. */
export function hasEndedByItself({ end, endRequest }: ProcessRecord): boolean {
  if (end === undefined || endRequest === EndRequest.Kill) return false;
  const isStopped = end.code === 0 || end.signal === 'SIGTERM' || end.signal === 'SIGKILL';
  return !(endRequest === EndRequest.Stop && isStopped);
}

/** Keeps the peak of the child's resident memory up to date until it ends. */
async function watchMemory(child: ChildProcess, record: ProcessRecord): Promise<void> {
  while (record.end === undefined) {
    const status = await readFile(`/proc/${child.pid}/status`, 'utf8').catch(() => '');
    const peakKb = Number(/^VmHWM:\s+(\d+)/m.exec(status)?.[1] ?? 0);
    record.peakMemoryMb = Math.max(record.peakMemoryMb, peakKb / KB_PER_MB);
    await delay(MEMORY_CHECK_MS);
  }
}

/** Waits until the kernel shows a handler of SIGHUP, the first signal, or the process has ended. */
async function waitUntilHandling(child: ChildProcess): Promise<void> {
  while (child.exitCode === null && child.signalCode === null) {
    const status = await readFile(`/proc/${child.pid}/status`, 'utf8').catch(() => '');
    const lowestDigit = /^SigCgt:\s+\w*(\w)$/m.exec(status)?.[1] ?? '0';
    if (Number.parseInt(lowestDigit, 16) % 2 === 1) return;
    await delay(HANDLER_CHECK_MS);
  }
}

export async function createRouterProcess(options: RouterProcessOptions): Promise<RouterProcess> {
  const { name, settingsFile, logFile, graceMs, records } = options;
  const log = await open(logFile, 'a');
  const { PATH, HOME, LANG } = process.env;
  const args = await readCommand();
  let incarnation = 0;
  let child: ChildProcess | undefined;
  let record: ProcessRecord | undefined;
  let restartTimer: NodeJS.Timeout | undefined;
  let exited = Promise.resolve();

  async function sendFirstReload(started: ChildProcess): Promise<void> {
    const reloadDelayMs = options.firstReloadDelayMs();
    if (reloadDelayMs === undefined) return;
    if (options.reloadsFromHandler) await waitUntilHandling(started);
    await delay(reloadDelayMs);
    started.kill('SIGHUP');
  }

  function start(): void {
    if (child !== undefined) return;
    clearTimeout(restartTimer);
    incarnation += 1;
    const started = spawn(process.execPath, args, {
      cwd: REPOSITORY,
      env: { PATH, HOME, LANG, [SETTINGS_VARIABLE]: settingsFile },
      stdio: ['ignore', log.fd, log.fd],
    });
    const startedRecord: ProcessRecord = {
      name: formatProcessName(name, incarnation),
      startedAtMs: performance.now(),
      peakMemoryMb: 0,
    };
    records.push(startedRecord);
    running.add(started);
    child = started;
    record = startedRecord;
    void watchMemory(started, startedRecord);
    void sendFirstReload(started);
    exited = new Promise((resolve) => {
      started.once('exit', (code, signal) => {
        startedRecord.end = { atMs: performance.now(), code, signal };
        running.delete(started);
        child = undefined;
        if (startedRecord.endRequest === undefined)
          restartTimer = setTimeout(start, RESTART_DELAY_MS);
        resolve();
      });
    });
  }

  async function end(request: EndRequest, signal: NodeJS.Signals): Promise<void> {
    clearTimeout(restartTimer);
    if (child === undefined || record === undefined) return;
    record.endRequest = request;
    child.kill(signal);
    await exited;
  }

  return {
    processName: () => formatProcessName(name, incarnation),
    start,
    signal(signal) {
      child?.kill(signal);
    },
    kill: () => end(EndRequest.Kill, 'SIGKILL'),
    async stop() {
      if (child !== undefined && record !== undefined) record.stopRequestedAtMs = performance.now();
      const stopped = child;
      const timer = setTimeout(() => stopped?.kill('SIGKILL'), graceMs + KILL_MARGIN_MS);
      await end(EndRequest.Stop, 'SIGTERM');
      clearTimeout(timer);
    },
    async close() {
      await end(EndRequest.Kill, 'SIGKILL');
      await log.close();
    },
  };
}
