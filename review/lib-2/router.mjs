/* eslint-disable no-promise-executor-return, no-await-in-loop, n/no-process-exit -- a plain script that runs without a build */
/** Router as a process of its own, with the command and the template of the deploy file. */
import { spawn } from 'node:child_process';
import { open, readFile, writeFile } from 'node:fs/promises';
import { request } from 'node:http';
import { createServer } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

/** Processes that run; none outlives the script, however it ends. */
const running = new Set();
process.once('exit', () => running.forEach((child) => child.kill('SIGKILL')));
['SIGTERM', 'SIGINT', 'SIGHUP'].forEach((signal) => process.once(signal, () => process.exit(2)));

const REPOSITORY = fileURLToPath(new URL('../../', import.meta.url));

/** Returns ports that are free at present, all different. */
export async function findFreePorts(count) {
  const servers = await Promise.all(
    Array.from(
      { length: count },
      () =>
        new Promise((resolve) => {
          const server = createServer().listen(0, '127.0.0.1', () => resolve(server));
        }),
    ),
  );
  const ports = servers.map((server) => server.address().port);
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}

async function readDeployFile() {
  const text = await readFile(`${REPOSITORY}deploy/system.toml`, 'utf8');
  const run = /^run = "([^"]+)"$/m.exec(text)[1];
  const template = /^template = "([^"]+)"$/m.exec(text)[1];
  return { words: run.split(' '), template: await readFile(REPOSITORY + template, 'utf8') };
}

/** Renders the placeholders that the project's template uses; the settings are those of a small deployment. */
function renderSettings(template, { name, zone, ports, storePort, graceS }) {
  const values = {
    nodeName: name,
    zone,
    'limits.cpuQuota': 0.513,
    'limits.memoryMb': 350,
    'limits.maxFds': 4100,
    'listen.frontend': `127.0.0.1:${ports.frontend}`,
    'listen.readiness': `127.0.0.1:${ports.readiness}`,
    'listen.controlPlane': `127.0.0.1:${ports.controlPlane}`,
    'platform.address': `127.0.0.1:${storePort}`,
    heartbeatMs: 1200,
    'bounds.evacuateMs': '',
    'bounds.contactMs': 3000,
    'platform.writesPerS': 400,
    'platform.readsPerS': 2000,
    'bounds.graceS': graceS,
    'bounds.retryRatio': 0.2,
    'bounds.retryBurst': 52,
    'bounds.retryWindowS': 10,
    'bounds.quotaWindowS': 4,
  };
  return template
    .replace(/\{\{#zones\}\}.*\{\{\/zones\}\}/, `${zone}=region-1`)
    .replace('{{ip}}:7415', `127.0.0.1:${ports.admin}`)
    .replace(/\{\{([\w.]+)\}\}/g, (_all, key) => String(values[key]));
}

/** Starts a router. `directory` gets its settings and its log. */
export async function startRouter({ name, directory, storePort, zone = 'zone-a', graceS = 8 }) {
  const [frontend, readiness, controlPlane, admin] = await findFreePorts(4);
  const ports = { frontend, readiness, controlPlane, admin };
  const { words, template } = await readDeployFile();
  const settingsFile = `${directory}/${name}.ini`;
  await writeFile(settingsFile, renderSettings(template, { name, zone, ports, storePort, graceS }));
  const { PATH, HOME, LANG } = process.env;
  const ended = { code: undefined, signal: undefined, done: false };
  let child;
  let exited = Promise.resolve();

  async function start() {
    const log = await open(`${directory}/${name}.log`, 'a');
    Object.assign(ended, { code: undefined, signal: undefined, done: false });
    child = spawn(process.execPath, words.slice(1), {
      cwd: REPOSITORY,
      env: { PATH, HOME, LANG, KINGCUPSILL_NODE_FILE: settingsFile },
      stdio: ['ignore', log.fd, log.fd],
    });
    const started = child;
    running.add(started);
    exited = new Promise((resolve) => {
      started.once('exit', (code, signal) => {
        running.delete(started);
        Object.assign(ended, { code, signal, done: true });
        resolve();
      });
    });
    await log.close();
  }

  function askReadiness() {
    return new Promise((resolve) => {
      const req = request({ host: '127.0.0.1', port: readiness, path: '/readyz' }, (res) => {
        res.resume();
        resolve(res.statusCode);
      });
      req.setTimeout(1000, () => req.destroy());
      req.on('error', () => resolve(0));
      req.end();
    });
  }

  await start();
  return {
    name,
    ports,
    ended,
    settingsFile,
    readLog: () => readFile(`${directory}/${name}.log`, 'utf8'),
    start,
    signal: (signal) => child.kill(signal),
    exited: () => exited,
    pid: () => child.pid,
    async waitUntilReady(timeoutMs = 15_000) {
      const endMs = performance.now() + timeoutMs;
      while (performance.now() < endMs) {
        if ((await askReadiness()) === 200) return true;
        await delay(100);
      }
      return false;
    },
    async kill() {
      child.kill('SIGKILL');
      await exited;
    },
  };
}
