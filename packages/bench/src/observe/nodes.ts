/** Samples the metrics of routers and sidecars while a run goes on. */
import { request } from 'undici';
import type { FleetProcess, ProcessRole } from '../fleet/index.js';
import { parseMetrics, sumMetric } from '../measure/index.js';
import type { MetricSample } from '../measure/index.js';

const SAMPLE_PERIOD_MS = 2000;
const SCRAPE_TIMEOUT_MS = 5000;
const BYTES_SENT = 'kingcupsill_link_bytes_sent_total';
const CPU_SECONDS = 'process_cpu_seconds_total';
const RSS_BYTES = 'process_resident_memory_bytes';

/** What one node used since sampling began. */
export interface NodeUsage {
  name: string;
  role: ProcessRole;
  controlBytes: number;
  /** Control bytes to other regions; undefined when the node doesn't tell them apart. */
  crossRegionBytes?: number;
  cpuSeconds: number;
  peakRssBytes: number;
}

/** Control bytes sent by all nodes up to a time. */
export interface BytesSample {
  atMs: number;
  controlBytes: number;
}

/** What all nodes used. */
export interface FleetUsage {
  seconds: number;
  nodes: NodeUsage[];
  series: BytesSample[];
}

/** Samples until stopped. */
export interface NodeSampler {
  /** Takes the last sample and tells the usage. */
  stop: () => Promise<FleetUsage>;
}

interface Counter {
  last: number;
  total: number;
}

/** Adds up a counter that starts again from 0 when its process restarts. */
function advance(counter: Counter, value: number): void {
  counter.total += value >= counter.last ? value - counter.last : value;
  counter.last = value;
}

async function scrape(node: FleetProcess): Promise<MetricSample[] | undefined> {
  try {
    const res = await request(`${node.adminUrl}/metrics`, {
      signal: AbortSignal.timeout(SCRAPE_TIMEOUT_MS),
    });
    return parseMetrics(await res.body.text());
  } catch {
    // A node that is down or paused is not sampled.
    return undefined;
  }
}

function sumCrossRegion(samples: readonly MetricSample[], region: string): number | undefined {
  const labelled = samples.filter(
    ({ name, labels }) => name === BYTES_SENT && labels.peer_region !== undefined,
  );
  if (labelled.length === 0) return undefined;
  return labelled
    .filter(({ labels }) => labels.peer_region !== region)
    .reduce((sum, { value }) => sum + value, 0);
}

function createNodeTracker(node: FleetProcess) {
  let isFirst = true;
  const bytes: Counter = { last: 0, total: 0 };
  const cpu: Counter = { last: 0, total: 0 };
  const crossRegion: Counter = { last: 0, total: 0 };
  let peakRssBytes = 0;
  let tellsRegions = false;

  const sample = async () => {
    const samples = await scrape(node);
    if (samples === undefined) return;
    const between = sumCrossRegion(samples, node.region);
    advance(bytes, sumMetric(samples, BYTES_SENT));
    advance(cpu, sumMetric(samples, CPU_SECONDS));
    advance(crossRegion, between ?? 0);
    tellsRegions ||= between !== undefined;
    peakRssBytes = Math.max(peakRssBytes, sumMetric(samples, RSS_BYTES));
    // What was used before the first sample is not part of the run.
    if (isFirst)
      [bytes, cpu, crossRegion].forEach((counter) => Object.assign(counter, { total: 0 }));
    isFirst = false;
  };

  const usage = (): NodeUsage => ({
    name: node.name,
    role: node.role,
    controlBytes: bytes.total,
    crossRegionBytes: tellsRegions ? crossRegion.total : undefined,
    cpuSeconds: cpu.total,
    peakRssBytes,
  });

  return { sample, usage };
}

/** Starts sampling; resolves after the first sample of each node. */
export async function startNodeSampler(nodes: readonly FleetProcess[]): Promise<NodeSampler> {
  const trackers = nodes.map(createNodeTracker);
  const series: BytesSample[] = [];
  const sampleAll = async () => {
    await Promise.all(trackers.map(({ sample }) => sample()));
    const controlBytes = trackers.reduce((sum, { usage }) => sum + usage().controlBytes, 0);
    series.push({ atMs: performance.timeOrigin + performance.now(), controlBytes });
  };
  await sampleAll();
  const startMs = performance.now();
  let running = Promise.resolve();
  const timer = setInterval(() => {
    running = running.then(sampleAll);
  }, SAMPLE_PERIOD_MS);
  return {
    stop: async () => {
      clearInterval(timer);
      await running;
      await sampleAll();
      const seconds = (performance.now() - startMs) / 1000;
      return { seconds, nodes: trackers.map(({ usage }) => usage()), series };
    },
  };
}
