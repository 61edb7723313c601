import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';

const SAMPLE = fileURLToPath(new URL('./sample-process.ts', import.meta.url));

const processEnv = {
  KINGCUPSILL_PROCESS_ID: 'sample-1',
  KINGCUPSILL_PROCESS_ZONE: 'kingston-a',
  KINGCUPSILL_PROCESS_REGION: 'kingston',
};

interface ExitedSample {
  code: number | null;
  stdout: string;
  stderr: string;
  /** Event names of the log lines, in order. */
  events: string[];
}

function startSample(args: string[], env: Record<string, string>) {
  const child = spawn(process.execPath, ['--import', 'tsx', SAMPLE, ...args], {
    env: { PATH: process.env.PATH, ...env },
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  let stdout = '';
  let stderr = '';
  const waiters = new Map<string, () => void>();
  child.stdout.on('data', (chunk: Buffer) => {
    stdout += chunk.toString();
    waiters.forEach((resolve, text) => stdout.includes(text) && resolve());
  });
  child.stderr.on('data', (chunk: Buffer) => {
    stderr += chunk.toString();
  });
  const exited = once(child, 'close').then(([code]): ExitedSample => {
    const lines = stdout.split('\n').filter((line) => line.startsWith('{'));
    const events = lines.map((line) => (JSON.parse(line) as { event: string }).event);
    return { code: code as number | null, stdout, stderr, events };
  });
  const waitForOutput = (text: string) => {
    const found = new Promise<void>((resolve) => {
      waiters.set(text, resolve);
    });
    return Promise.race([exited, found]);
  };
  return { child, exited, waitForOutput };
}

function runSample(args: string[], env: Record<string, string> = {}): Promise<ExitedSample> {
  return startSample(args, env).exited;
}

test('--help and --version print and exit with 0', async () => {
  const [help, version] = await Promise.all([runSample(['--help']), runSample(['--version'])]);
  assert.equal(help.code, 0);
  assert.match(help.stdout, /\[sample\]\n {2}drain_ms = number \(default 0\): time to drain/);
  assert.match(help.stdout, /zone = string \(required\): availability zone/);
  assert.equal(version.code, 0);
  assert.match(version.stdout, /^sample \d+\.\d+\.\d+\n$/);
});

test('invalid arguments and settings print one line to standard error and exit with 2', async () => {
  const runs = await Promise.all([
    runSample(['--nonsense']),
    runSample([]),
    runSample(['--config', '/none.ini'], processEnv),
  ]);
  for (const { code, stderr, stdout } of runs) {
    assert.equal(code, 2);
    assert.match(stderr, /^sample: [^\n]+\n$/);
    assert.equal(stdout, '');
  }
  assert.match(runs[1].stderr, /\[process\] id: missing key/);
});

test('SIGTERM drains, closes and exits with 0', async () => {
  const sample = startSample([], processEnv);
  await sample.waitForOutput('"listening"');
  sample.child.kill('SIGTERM');
  const { code, events } = await sample.exited;
  assert.equal(code, 0);
  const expected = ['starting', 'listening', 'draining', 'drained', 'sample-closed', 'closed'];
  assert.deepEqual(events, expected);
});

// Guards against: a supervisor that repeats its SIGTERM aborts the requests of a draining process.
test('a repeated SIGTERM does not shorten the drain', async () => {
  const sample = startSample([], { ...processEnv, KINGCUPSILL_SAMPLE_DRAIN_MS: '500' });
  await sample.waitForOutput('"listening"');
  sample.child.kill('SIGTERM');
  await sample.waitForOutput('"draining"');
  sample.child.kill('SIGTERM');
  const { code, events } = await sample.exited;
  assert.equal(code, 0);
  const expected = ['starting', 'listening', 'draining', 'signal-ignored', 'drained'];
  assert.deepEqual(events, [...expected, 'sample-closed', 'closed']);
});

test('a SIGINT while draining closes immediately and exits with 1', async () => {
  const sample = startSample([], { ...processEnv, KINGCUPSILL_SAMPLE_DRAIN_MS: '60000' });
  await sample.waitForOutput('"listening"');
  sample.child.kill('SIGTERM');
  await sample.waitForOutput('"draining"');
  sample.child.kill('SIGINT');
  const { code, events } = await sample.exited;
  assert.equal(code, 1);
  const expected = ['starting', 'listening', 'draining', 'forced-close', 'sample-closed'];
  assert.deepEqual(events, expected);
});

// Guards against: a SIGHUP ends a process that doesn't handle it, with everything it has accepted.
test('SIGHUP drains a process that reads its settings only once', async () => {
  const sample = startSample([], processEnv);
  await sample.waitForOutput('"listening"');
  sample.child.kill('SIGHUP');
  const { code, events } = await sample.exited;
  assert.equal(code, 0);
  const expected = ['starting', 'listening', 'draining', 'drained', 'sample-closed', 'closed'];
  assert.deepEqual(events, expected);
});

const faults: [string, number, string][] = [
  ['start', 1, 'start-failed'],
  ['throw', 70, 'uncaught-exception'],
  ['reject', 70, 'unhandled-rejection'],
];

faults.forEach(([fault, expectedCode, expectedEvent]) => {
  test(`fault ${fault} is logged and exits with ${expectedCode}`, async () => {
    const { code, events } = await runSample([], {
      ...processEnv,
      KINGCUPSILL_SAMPLE_FAULT: fault,
    });
    assert.equal(code, expectedCode);
    assert.equal(events.at(-1), expectedEvent);
  });
});
