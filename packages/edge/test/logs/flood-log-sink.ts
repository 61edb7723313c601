/** Writes far more than a pipe holds, and tells on standard error how long its loop stood still. */
import { writeSync } from 'node:fs';
import { createLogSink } from '../../src/logs/log-sink.js';

const sink = createLogSink(1);
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
  // eslint-disable-next-line n/no-sync -- the last thing this program does
  writeSync(2, JSON.stringify({ dropped: sink.dropped(), longestMs }));
  process.kill(process.pid, 'SIGKILL');
}, 5);
