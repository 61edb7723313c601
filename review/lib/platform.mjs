/* eslint-disable no-await-in-loop, n/no-unsupported-features/node-builtins -- off for .ts files too */
/**
 * Stand-in of the platform (DEPLOY.md): renders `platform/settings.ini` as the deploy file's template, starts the deploy file's
 * command for each machine, starts a process that ended again after a short delay, and enforces `memoryMb`.
 */
import { spawn } from 'node:child_process';
import { randomInt } from 'node:crypto';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

export const ROOT = fileURLToPath(new URL('../..', import.meta.url));
/** Bounds of `sites/bmpw-polish.toml`, as SYSTEM.md states them. */
const BOUNDS = {
  contactMs: 3000,
  drainMs: 2500,
  graceS: 8,
  configApplyMs: 2500,
  retryRatio: 0.2,
  retryWindowS: 10,
  retryBurst: 52,
  quotaWindowS: 4,
};
export const CONTACT_MS = BOUNDS.contactMs;
export const CONFIG_APPLY_MS = BOUNDS.configApplyMs;
export const MEMORY_MB = 350;
const RESTART_DELAY_MS = 500;

/** Reads the single-line keys of the role in the deploy file. */
async function readDeployFile() {
  const text = await readFile(join(ROOT, 'deploy/system.toml'), 'utf8');
  const read = (key) => new RegExp(`^${key} = "(.*)"$`, 'm').exec(text)[1];
  return { command: read('run').split(' '), template: read('template') };
}

/** Renders the placeholders that the template uses: values, and the section over `zones`. */
function render(template, fields) {
  const lookUp = (path) =>
    path.split('.').reduce((value, key) => (value === undefined ? undefined : value[key]), fields);
  const sections = template.replace(/\{\{#(\w+)\}\}(.*?)\{\{\/\1\}\}/gs, (_all, key, inner) => {
    const entries = Object.entries(fields[key]);
    return entries
      .map(([name, value], index) =>
        inner
          .replaceAll('{{@}}', name)
          .replaceAll('{{.}}', value)
          .replaceAll('{{,}}', index < entries.length - 1 ? ',' : ''),
      )
      .join('');
  });
  return sections.replace(/\{\{([\w.]+)\}\}/g, (_all, path) => String(lookUp(path) ?? ''));
}

function canListen(host, port) {
  const server = createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Each machine has a loopback address of its own, so that the ports, which are the same on all machines, are free. */
async function findHost(ports) {
  for (;;) {
    const host = ['127', randomInt(64, 250), randomInt(1, 250), randomInt(1, 250)].join('.');
    const free = await Promise.all(ports.map((port) => canListen(host, port)));
    if (free.every(Boolean)) return host;
  }
}

const PORTS = { frontend: 8783, readiness: 8780, controlPlane: 8785, metrics: 7415 };

/** Returns the message of the error that ended a process; its stack, with the paths of the machine, stays out of the record. */
function findLastError(lines) {
  const line = lines.find((text) => /uncaught-exception|unhandled-rejection/.test(text));
  if (line === undefined) return undefined;
  try {
    return JSON.parse(line).err?.message;
  } catch {
    return 'unreadable log line';
  }
}

async function isReady(host) {
  return fetch(`http://${host}:${PORTS.readiness}/readyz`, { signal: AbortSignal.timeout(500) })
    .then(({ status }) => status === 200)
    .catch(() => false);
}

/** Starts the platform. `note` writes a line of the record. */
export async function createPlatform(storeAddress, note) {
  const directory = await mkdtemp(join(tmpdir(), 'review-'));
  const { command, template } = await readDeployFile();
  const templateText = await readFile(join(ROOT, template), 'utf8');
  const machines = [];
  let closing = false;

  async function addMachine(name, zone, zones) {
    const host = await findHost(Object.values(PORTS));
    const file = join(directory, `${name}.ini`);
    const fields = {
      nodeName: name,
      zone,
      zones,
      ip: host,
      limits: { cpuQuota: 0.513, memoryMb: MEMORY_MB },
      listen: {
        frontend: `${host}:${PORTS.frontend}`,
        readiness: `${host}:${PORTS.readiness}`,
        controlPlane: `${host}:${PORTS.controlPlane}`,
      },
      platform: { address: storeAddress, writesPerS: 400, readsPerS: 2000 },
      heartbeatMs: 1200,
      bounds: BOUNDS,
    };
    await writeFile(file, render(templateText, fields));
    const machine = {
      name,
      host,
      port: PORTS.frontend,
      process: undefined,
      /** Ends of processes that the platform hasn't caused. */
      ownEnds: [],
      memoryKills: 0,
      peakMb: 0,
      starts: 0,
      log: [],
      isReady: () => isReady(host),
    };

    function start() {
      machine.starts += 1;
      const child = spawn(command[0], command.slice(1), {
        cwd: ROOT,
        env: { PATH: process.env.PATH, HOME: process.env.HOME, KINGCUPSILL_NODE_FILE: file },
        stdio: ['ignore', 'pipe', 'pipe'],
      });
      machine.process = child;
      machine.log = [];
      const keep = (chunk) => {
        machine.log.push(...chunk.toString().split('\n').filter(Boolean));
        machine.log.splice(0, Math.max(0, machine.log.length - 400));
      };
      child.stdout.on('data', keep);
      child.stderr.on('data', keep);
      child.on('exit', (code, signal) => {
        if (closing) return;
        // Another program has taken a port of this machine: the case says nothing.
        if (machine.log.some((line) => line.includes('EADDRINUSE'))) {
          note(`${name} can't listen: a port is taken`);
          setTimeout(() => {
            if (!closing) start();
          }, RESTART_DELAY_MS);
          return;
        }
        machine.ownEnds.push({ code, signal, atMs: performance.now() });
        const cause = findLastError(machine.log);
        note(`process of ${name} ended: code ${code}, signal ${signal}`);
        if (cause !== undefined) note(`  its last error: ${cause}`);
        setTimeout(() => {
          if (!closing) start();
        }, RESTART_DELAY_MS);
      });
    }

    async function checkMemory() {
      const child = machine.process;
      const status = await readFile(`/proc/${child.pid}/status`, 'utf8').catch(() => '');
      const residentMb = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1024;
      if (child !== machine.process || child.exitCode !== null || child.signalCode !== null) return;
      machine.peakMb = Math.max(machine.peakMb, residentMb);
      if (residentMb <= MEMORY_MB) return;
      machine.memoryKills += 1;
      note(`${name} holds ${Math.round(residentMb)} MB, over its ${MEMORY_MB} MB, and is killed`);
      child.kill('SIGKILL');
    }

    machine.memoryTimer = setInterval(checkMemory, 50);
    machines.push(machine);
    start();
    return machine;
  }

  return {
    machines,
    addMachine,
    async waitUntilReady(maxMs = 20_000) {
      const endMs = performance.now() + maxMs;
      for (;;) {
        const ready = await Promise.all(machines.map((machine) => machine.isReady()));
        if (ready.every(Boolean)) return true;
        if (performance.now() > endMs) return false;
        await delay(100);
      }
    },
    async close() {
      closing = true;
      await Promise.all(
        machines.map(async (machine) => {
          clearInterval(machine.memoryTimer);
          const child = machine.process;
          if (child.exitCode !== null || child.signalCode !== null) return;
          const ended = new Promise((resolve) => {
            child.once('exit', resolve);
          });
          child.kill('SIGKILL');
          await ended;
        }),
      );
      await rm(directory, { recursive: true, force: true });
    },
  };
}
