/* eslint-disable import-x/extensions, import-x/prefer-default-export, no-await-in-loop, n/no-process-exit -- a plain script that runs without a build */
/** Routers as separate processes, with the command of the deploy file and settings rendered from its template. */
import { spawn } from 'node:child_process';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { get } from 'node:http';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { delay, machineAddress, split } from './net.mjs';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');

/** Characters of a router's output that are kept, for the record of a case that couldn't run. */
const MAX_OUTPUT = 4000;

/** Figures of the site `bmpw-polish`, as its pages give them. */
const FIELDS = {
  zone: 'kgn-a',
  zones: { 'kgn-a': 'kingston', 'mbj-a': 'montego', 'mdv-a': 'mandeville' },
  limits: { cpuQuota: 0.513, memoryMb: 350, maxFds: 4100 },
  heartbeatMs: 1200,
  bounds: {
    drainMs: 2500,
    configApplyMs: 2500,
    contactMs: 3000,
    graceS: 8,
    retryRatio: 0.2,
    retryBurst: 52,
    retryWindowS: 10,
    quotaWindowS: 4,
  },
  platform: { writesPerS: 400, readsPerS: 2000 },
};

async function readDeploy() {
  const text = await readFile(join(ROOT, 'deploy/system.toml'), 'utf8');
  const field = (name) => new RegExp(`^${name} = "(.*)"$`, 'm').exec(text)[1];
  return { run: field('run').split(' '), template: join(ROOT, field('template')) };
}

/** Processes that run; none outlives the script, however it ends. */
const running = new Set();
process.once('exit', () => running.forEach((child) => child.kill('SIGKILL')));
['SIGTERM', 'SIGINT', 'SIGHUP'].forEach((signal) => {
  process.once(signal, () => {
    process.exit(2);
  });
});

function lookUp(fields, path) {
  return path.split('.').reduce((value, key) => value?.[key], fields);
}

/** Renders the placeholders that the template has: values, and the section over the zones. */
function render(template, fields) {
  return template
    .replace(/\{\{#zones\}\}.*\{\{\/zones\}\}/, () =>
      Object.entries(fields.zones)
        .map(([zone, region]) => `${zone}=${region}`)
        .join(','),
    )
    .replace(/\{\{([\w.]+)\}\}/g, (_all, path) => String(lookUp(fields, path) ?? ''));
}

/** Creates a machine that runs one router at a time, under the same addresses. */
export async function createRouter({ name, storeAddress, fields = {} }) {
  const dir = await mkdtemp(join(tmpdir(), 'review-3-'));
  const settingsFile = join(dir, 'settings.ini');
  const { run, template } = await readDeploy();
  const ip = machineAddress();
  const listen = {
    frontend: `${ip}:8783`,
    readiness: `${ip}:8780`,
    controlPlane: `${ip}:8785`,
  };
  const all = { ...FIELDS, ...fields, nodeName: name, ip, listen };
  const platform = { ...FIELDS.platform, address: storeAddress };
  const text = render(await readFile(template, 'utf8'), { ...all, platform });
  await writeFile(settingsFile, text);
  let child;
  const exits = [];
  let output = '';
  const keep = (bytes) => {
    output = (output + bytes.toString()).slice(-MAX_OUTPUT);
  };

  function start() {
    const [file, ...args] = run;
    const started = spawn(file === 'node' ? process.execPath : file, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: dir, KINGCUPSILL_NODE_FILE: settingsFile },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    running.add(started);
    started.stdout.on('data', keep);
    started.stderr.on('data', keep);
    started.ended = new Promise((resolve) => {
      started.once('exit', (code, signal) => {
        running.delete(started);
        exits.push({ atMs: Date.now(), code, signal });
        resolve();
      });
    });
    child = started;
  }

  function isReady() {
    return new Promise((resolve) => {
      const { host, port } = split(listen.readiness);
      const req = get({ host, port, path: '/readyz', agent: false, timeout: 1000 }, (res) => {
        res.resume();
        resolve(res.statusCode === 200);
      });
      req.on('timeout', () => req.destroy());
      req.on('error', () => resolve(false));
    });
  }

  start();
  return {
    name,
    frontend: listen.frontend,
    exits,
    output: () => output,
    pid: () => child.pid,
    start,
    signal: (signal) => child.kill(signal),
    isRunning: () => child.exitCode === null && child.signalCode === null,
    isReady,
    async waitUntilReady(maxMs = 15_000) {
      const endMs = Date.now() + maxMs;
      while (Date.now() < endMs) {
        if (await isReady()) return true;
        await delay(50);
      }
      return false;
    },
    ended: () => child.ended,
    async close() {
      child.kill('SIGKILL');
      await child.ended;
      await rm(dir, { recursive: true, force: true });
    },
  };
}
