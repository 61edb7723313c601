/** Guards against unbounded logs and against a log reader that blocks the event loop. */
import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { createRateLimitedLogger } from '../../src/logs/rate-limited-logger.js';
import { createRecordingLogger } from '../standins/recording-logger.js';
import type { LoggedLine } from '../standins/recording-logger.js';

test('limits lines per event, routine events more tightly than failures, and counts omitted lines', () => {
  const lines: LoggedLine[] = [];
  let nowMs = 0;
  const logger = createRateLimitedLogger({
    logger: createRecordingLogger(lines),
    clock: () => nowMs,
  });
  for (let index = 0; index < 1000; index += 1) {
    logger.info('request-sent', {});
    logger.warn('request-refused', {});
  }
  const count = (event: string) => lines.filter((line) => line.event === event).length;
  assert.ok(count('request-sent') < count('request-refused'));
  assert.ok(count('request-refused') < 1000);
  const written = count('request-sent');
  nowMs = 10_000;
  logger.info('request-sent', {});
  assert.equal(lines[lines.length - 1]?.fields.leftOut, 1000 - written);
});

test('drops lines without blocking the event loop when the reader stops reading', async () => {
  const program = fileURLToPath(new URL('./flood-log-sink.ts', import.meta.url));
  const child = spawn(process.execPath, ['--import', 'tsx', program], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  child.stdout.pause();
  let report = '';
  child.stderr.on('data', (chunk: Buffer) => {
    report += chunk.toString();
  });
  await new Promise((resolve) => {
    child.stderr.on('end', resolve);
    setTimeout(() => child.kill('SIGKILL'), 20_000).unref();
  });
  child.kill('SIGKILL');
  const { dropped, longestMs } = JSON.parse(report) as { dropped: number; longestMs: number };
  assert.ok(dropped > 0);
  assert.ok(longestMs < 1000, `event loop blocked for ${longestMs} ms`);
});
