/** Writes more lines than a pipe buffers, then reports dropped lines and the longest event loop delay on standard error. */
import { writeSync } from 'node:fs';
import { createLogSink } from '@kingcupsill/runtime';

const sink = createLogSink(process.stdout);
const line = `${'x'.repeat(1000)}\n`;
let longestMs = 0;
let lastTickMs = performance.now();
let tickCount = 0;

const timer = setInterval(() => {
  const nowMs = performance.now();
  longestMs = Math.max(longestMs, nowMs - lastTickMs);
  lastTickMs = nowMs;
  for (let index = 0; index < 100; index += 1) sink.write(line);
  tickCount += 1;
  if (tickCount < 50) return;
  clearInterval(timer);
  // eslint-disable-next-line n/no-sync -- the report must be written before the process kills itself
  writeSync(2, JSON.stringify({ dropped: sink.dropped(), longestMs }));
  process.kill(process.pid, 'SIGKILL');
}, 5);
