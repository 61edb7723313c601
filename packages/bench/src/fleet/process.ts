/** Starts a process, waits until it listens and controls it by signals. */
import { getOwn } from '@kingcupsill/core/collections';
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { writeFile } from 'node:fs/promises';
import { createInterface } from 'node:readline';
import { assignPorts, formatIni } from './settings.js';
import { ProcessRole } from './types.js';
import type { FleetProcess, ProcessExit, ProcessSpec } from './types.js';

const START_TIMEOUT_MS = 15_000;
const DRAIN_TIMEOUT_MS = 60_000;
const STDERR_TAIL_CHARS = 2000;

/** Field of the `listening` log line with the main port of each role. */
const MAIN_PORT_FIELD: Record<ProcessRole, string> = {
  [ProcessRole.Router]: 'callersPort',
  [ProcessRole.Sidecar]: 'dataPort',
  [ProcessRole.Standin]: 'port',
};

/** Field of the `listening` log line with the admin port of each role. */
const ADMIN_PORT_FIELD: Record<ProcessRole, string> = {
  [ProcessRole.Router]: 'adminPort',
  [ProcessRole.Sidecar]: 'adminPort',
  [ProcessRole.Standin]: 'port',
};

/** Running child processes of all fleets; killed when this process exits. */
const runningChildren = new Set<ChildProcess>();
let hasExitHook = false;

function trackChild(child: ChildProcess): void {
  runningChildren.add(child);
  child.once('exit', () => runningChildren.delete(child));
  if (hasExitHook) return;
  hasExitHook = true;
  process.once('exit', () => runningChildren.forEach((other) => other.kill('SIGKILL')));
}

/** Returns the environment of this process without its own `KINGCUPSILL_` settings. */
function createChildEnvironment(): NodeJS.ProcessEnv {
  return Object.fromEntries(
    Object.entries(process.env).filter(([name]) => !name.startsWith('KINGCUPSILL_')),
  );
}

/** Returns the ports in a `listening` log line, or undefined for any other line. */
function parseListeningPorts(line: string): Record<string, number> | undefined {
  if (!line.includes('"listening"')) return undefined;
  try {
    const fields = JSON.parse(line) as Record<string, unknown>;
    if (fields.event !== 'listening') return undefined;
    const ports = Object.entries(fields).filter(
      ([name, value]) => /port$/i.test(name) && typeof value === 'number',
    );
    return Object.fromEntries(ports) as Record<string, number>;
  } catch {
    return undefined;
  }
}

function waitForExit(child: ChildProcess): Promise<ProcessExit> {
  if (child.exitCode !== null || child.signalCode !== null) {
    return Promise.resolve({ code: child.exitCode, signal: child.signalCode });
  }
  return new Promise((resolve) => {
    child.once('exit', (code, signal) => resolve({ code, signal }));
  });
}

/** Resolves with the ports once the child listens; rejects if it exits first or exceeds `START_TIMEOUT_MS`. */
function waitUntilListening(
  child: ChildProcess,
  spec: ProcessSpec,
): Promise<Record<string, number>> {
  return new Promise((resolve, reject) => {
    let stderrTail = '';
    const timer = setTimeout(() => {
      child.kill('SIGKILL');
      reject(new Error(`${spec.name} did not listen within ${START_TIMEOUT_MS} ms`));
    }, START_TIMEOUT_MS);
    child.stderr?.on('data', (chunk: Buffer) => {
      stderrTail = (stderrTail + chunk.toString()).slice(-STDERR_TAIL_CHARS);
    });
    child.once('exit', (code, signal) => {
      clearTimeout(timer);
      reject(new Error(`${spec.name} exited during startup (${code ?? signal}): ${stderrTail}`));
    });
    createInterface({ input: child.stdout! }).on('line', (line) => {
      const ports = parseListeningPorts(line);
      if (ports === undefined) return;
      clearTimeout(timer);
      resolve(ports);
    });
  });
}

async function spawnChild(spec: ProcessSpec, ports: Record<string, number>): Promise<ChildProcess> {
  const settings = assignPorts(spec.settings, spec.portSettings, ports);
  await writeFile(spec.settingsFile, formatIni(settings));
  const child = spawn(process.execPath, [spec.script, '--config', spec.settingsFile], {
    env: createChildEnvironment(),
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  trackChild(child);
  const log = createWriteStream(spec.logFile, { flags: 'a' });
  child.stdout?.pipe(log, { end: false });
  child.stderr?.pipe(log, { end: false });
  child.once('close', () => log.end());
  return child;
}

/** Sends SIGTERM, then SIGKILL if the child has not exited within `DRAIN_TIMEOUT_MS`. */
async function drainChild(child: ChildProcess): Promise<ProcessExit> {
  const timer = setTimeout(() => child.kill('SIGKILL'), DRAIN_TIMEOUT_MS);
  child.kill('SIGTERM');
  const exit = await waitForExit(child);
  clearTimeout(timer);
  return exit;
}

/** Starts a process and resolves once it listens; rejects if it exits first or times out. */
export async function startProcess(spec: ProcessSpec): Promise<FleetProcess> {
  let child = await spawnChild(spec, {});
  let ports = await waitUntilListening(child, spec);
  const isRunning = () => child.exitCode === null && child.signalCode === null;
  const urlOf = (field: string) => `http://127.0.0.1:${getOwn(ports, field)}`;
  const kill = () => {
    child.kill('SIGKILL');
    return waitForExit(child);
  };
  return {
    name: spec.name,
    role: spec.role,
    zone: spec.zone,
    region: spec.region,
    get pid() {
      return isRunning() ? child.pid : undefined;
    },
    get ports() {
      return ports;
    },
    get url() {
      return urlOf(MAIN_PORT_FIELD[spec.role]);
    },
    get adminUrl() {
      return urlOf(ADMIN_PORT_FIELD[spec.role]);
    },
    kill,
    pause: () => {
      child.kill('SIGSTOP');
    },
    resume: () => {
      child.kill('SIGCONT');
    },
    drain: () => drainChild(child),
    restart: async () => {
      await kill();
      child = await spawnChild(spec, ports);
      ports = await waitUntilListening(child, spec);
    },
  };
}
