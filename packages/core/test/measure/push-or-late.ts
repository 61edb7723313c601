/**
 * Measures where requests should wait: pushed to a queue at each backend server, or kept back until a slot comes to them. The
 * same arrivals and sizes for each way; first come, first served throughout.
 */
import { numericOptions } from './options.js';
import { createRandom } from './random.js';

const options = numericOptions({
  servers: 8,
  slots: 4,
  load: 0.95,
  meanMs: 1500,
  largestMs: 20_000,
  /** One-way delay between router and sidecar. */
  delayMs: 5,
  /** Period of the load reports that pushing to the least loaded goes by. */
  reportMs: 250,
  seconds: 300,
  seed: 1,
});

type Way = 'push at random' | 'push to the least loaded' | 'late binding' | 'one queue (oracle)';

interface Job {
  atMs: number;
  sizeMs: number;
}

function drawJobs(): Job[] {
  const random = createRandom(options.seed);
  const rate = (options.servers * options.slots * options.load) / options.meanMs;
  const jobs: Job[] = [];
  let atMs = 0;
  while (atMs < options.seconds * 1000) {
    atMs += -Math.log(1 - random.next()) / rate;
    // A fifth of the requests are long, as with long reviews among short notes.
    const scale = random.next() < 0.2 ? 3 : 0.5;
    const sizeMs = -Math.log(1 - random.next()) * options.meanMs * scale;
    jobs.push({ atMs, sizeMs: Math.min(options.largestMs, sizeMs) });
  }
  return jobs;
}

interface Span {
  startMs: number;
  endMs: number;
}

interface Server {
  queue: Job[];
  /** Jobs that run, or were granted a slot and are on their way. */
  running: Span[];
  reported: number;
}

function quantile(sorted: number[], q: number): number {
  return Math.round(sorted[Math.floor(q * (sorted.length - 1))] as number);
}

function leastLoaded(servers: Server[]): Server {
  const least = servers.reduce((best, server) => (server.reported < best.reported ? server : best));
  // The router counts what it sent since the last report.
  least.reported += 1;
  return least;
}

function countStarted(servers: Server[], nowMs: number): number {
  const spans = servers.flatMap(({ running }) => running);
  return spans.filter(({ startMs }) => startMs <= nowMs).length;
}

function simulate(way: Way, jobs: Job[]): string {
  const random = createRandom(options.seed + 1);
  const servers: Server[] = Array.from({ length: options.servers }, () => ({
    queue: [],
    running: [],
    reported: 0,
  }));
  const central: Job[] = [];
  const pushes = way.startsWith('push');
  const grantMs = way === 'late binding' ? 2 * options.delayMs : 0;
  const waits: number[] = [];
  let next = 0;
  let busy = 0;
  let offered = 0;
  for (let nowMs = 0; nowMs < options.seconds * 1000; nowMs += 1) {
    servers.forEach((server) => {
      server.running = server.running.filter(({ endMs }) => endMs > nowMs);
      if (nowMs % options.reportMs === 0)
        server.reported = server.queue.length + server.running.length;
    });
    for (; next < jobs.length && (jobs[next] as Job).atMs <= nowMs; next++) {
      const job = jobs[next] as Job;
      if (!pushes) central.push(job);
      else if (way === 'push at random') servers[random.below(servers.length)]?.queue.push(job);
      else leastLoaded(servers).queue.push(job);
    }
    servers.forEach((server) => {
      const queue = pushes ? server.queue : central;
      while (server.running.length < options.slots && queue.length > 0) {
        const job = queue.shift() as Job;
        const startMs = nowMs + grantMs;
        server.running.push({ startMs, endMs: startMs + job.sizeMs });
        waits.push(nowMs + grantMs - job.atMs);
      }
    });
    const waiting = central.length + servers.reduce((sum, { queue }) => sum + queue.length, 0);
    if (waiting > 0) {
      offered += options.servers * options.slots;
      busy += countStarted(servers, nowMs);
    }
  }
  waits.sort((a, b) => a - b);
  const cells = [
    way,
    (busy / Math.max(1, offered)).toFixed(3),
    quantile(waits, 0.5),
    quantile(waits, 0.95),
    quantile(waits, 0.99),
  ];
  return `| ${cells.join(' | ')} |\n`;
}

const jobs = drawJobs();
process.stdout.write('| way | slots in use while work waits | wait p50 ms | p95 ms | p99 ms |\n');
process.stdout.write('| --- | --- | --- | --- | --- |\n');
const ways: Way[] = [
  'push at random',
  'push to the least loaded',
  'late binding',
  'one queue (oracle)',
];
ways.forEach((way) => process.stdout.write(simulate(way, jobs)));
