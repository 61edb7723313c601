/**
 * Compares pushing requests to a queue at each backend server with late binding, which keeps them in a central queue until a slot
 * is free. All strategies get the same arrivals and sizes and serve in first-come, first-served order.
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
  /** Interval of the load reports used to push to the least loaded server. */
  reportMs: 250,
  seconds: 300,
  seed: 1,
});

type Strategy =
  'push at random' | 'push to the least loaded' | 'late binding' | 'one queue (oracle)';

interface Job {
  atMs: number;
  sizeMs: number;
}

function generateJobs(): Job[] {
  const random = createRandom(options.seed);
  const arrivalsPerMs = (options.servers * options.slots * options.load) / options.meanMs;
  const jobs: Job[] = [];
  let atMs = 0;
  while (atMs < options.seconds * 1000) {
    atMs += -Math.log(1 - random.next()) / arrivalsPerMs;
    // A fifth of the requests are long, as in a mix of long reviews and short notes.
    const scale = random.next() < 0.2 ? 3 : 0.5;
    const sizeMs = -Math.log(1 - random.next()) * options.meanMs * scale;
    jobs.push({ atMs, sizeMs: Math.min(options.largestMs, sizeMs) });
  }
  return jobs;
}

interface ExecutionInterval {
  startMs: number;
  endMs: number;
}

interface Server {
  queue: Job[];
  /** Execution intervals of jobs that are running or have been granted a slot and are in transit. */
  running: ExecutionInterval[];
  /** Load in the last report plus the requests sent since. */
  load: number;
}

function quantile(sorted: number[], q: number): number {
  return Math.round(sorted[Math.floor(q * (sorted.length - 1))] as number);
}

function leastLoaded(servers: Server[]): Server {
  const least = servers.reduce((best, server) => (server.load < best.load ? server : best));
  // The router adds the requests it has sent since the last report.
  least.load += 1;
  return least;
}

function countRunning(servers: Server[], nowMs: number): number {
  const intervals = servers.flatMap(({ running }) => running);
  return intervals.filter(({ startMs }) => startMs <= nowMs).length;
}

function simulate(strategy: Strategy, jobs: Job[]): string {
  const random = createRandom(options.seed + 1);
  const servers: Server[] = Array.from({ length: options.servers }, () => ({
    queue: [],
    running: [],
    load: 0,
  }));
  const centralQueue: Job[] = [];
  const isPushStrategy = strategy.startsWith('push');
  const grantDelayMs = strategy === 'late binding' ? 2 * options.delayMs : 0;
  const waitsMs: number[] = [];
  let nextJobIndex = 0;
  let busySlotMs = 0;
  let availableSlotMs = 0;
  for (let nowMs = 0; nowMs < options.seconds * 1000; nowMs += 1) {
    servers.forEach((server) => {
      server.running = server.running.filter(({ endMs }) => endMs > nowMs);
      if (nowMs % options.reportMs === 0) server.load = server.queue.length + server.running.length;
    });
    for (
      ;
      nextJobIndex < jobs.length && (jobs[nextJobIndex] as Job).atMs <= nowMs;
      nextJobIndex++
    ) {
      const job = jobs[nextJobIndex] as Job;
      if (!isPushStrategy) centralQueue.push(job);
      else if (strategy === 'push at random')
        servers[random.nextInt(servers.length)]?.queue.push(job);
      else leastLoaded(servers).queue.push(job);
    }
    servers.forEach((server) => {
      const queue = isPushStrategy ? server.queue : centralQueue;
      while (server.running.length < options.slots && queue.length > 0) {
        const job = queue.shift() as Job;
        const startMs = nowMs + grantDelayMs;
        server.running.push({ startMs, endMs: startMs + job.sizeMs });
        waitsMs.push(nowMs + grantDelayMs - job.atMs);
      }
    });
    const waiting = centralQueue.length + servers.reduce((sum, { queue }) => sum + queue.length, 0);
    if (waiting > 0) {
      availableSlotMs += options.servers * options.slots;
      busySlotMs += countRunning(servers, nowMs);
    }
  }
  waitsMs.sort((a, b) => a - b);
  const cells = [
    strategy,
    (busySlotMs / Math.max(1, availableSlotMs)).toFixed(3),
    quantile(waitsMs, 0.5),
    quantile(waitsMs, 0.95),
    quantile(waitsMs, 0.99),
  ];
  return `| ${cells.join(' | ')} |\n`;
}

const jobs = generateJobs();
process.stdout.write('| way | slots in use while work waits | wait p50 ms | p95 ms | p99 ms |\n');
process.stdout.write('| --- | --- | --- | --- | --- |\n');
const strategies: Strategy[] = [
  'push at random',
  'push to the least loaded',
  'late binding',
  'one queue (oracle)',
];
strategies.forEach((strategy) => process.stdout.write(simulate(strategy, jobs)));
