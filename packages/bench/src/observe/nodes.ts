/** Samples the metrics of routers and sidecars during a run. */
import { request } from 'undici';
import type { FleetProcess, ProcessRole } from '../fleet/index.js';
import { parseMetrics, sumMetric } from '../measure/index.js';
import type { MetricSample } from '../measure/index.js';

const SAMPLE_PERIOD_MS = 2000;
const SCRAPE_TIMEOUT_MS = 5000;
const BYTES_SENT = 'kingcupsill_link_bytes_sent_total';
const CPU_SECONDS = 'process_cpu_seconds_total';
const RSS_BYTES = 'process_resident_memory_bytes';

/** Resource usage of one node since the first sample. */
export interface NodeUsage {
  name: string;
  role: ProcessRole;
  controlBytes: number;
  /** Control bytes sent to other regions; undefined if the node's metrics have no region label. */
  crossRegionBytes?: number;
  cpuSeconds: number;
  peakRssBytes: number;
}

/** Cumulative control bytes sent by all nodes at a time, in epoch milliseconds. */
export interface BytesSample {
  atMs: number;
  controlBytes: number;
}

/** Resource usage of all nodes over the sampled period. */
export interface FleetUsage {
  seconds: number;
  nodes: NodeUsage[];
  series: BytesSample[];
}

/** Periodic sampler of node metrics. */
export interface NodeSampler {
  /** Takes the last sample, stops and returns the usage. */
  stop: () => Promise<FleetUsage>;
}

/** Last value read from a counter metric, and its accumulated increase. */
interface Counter {
  last: number;
  total: number;
}

/** Adds the increase of a counter, which restarts from 0 when its process restarts. */
function updateCounter(counter: Counter, value: number): void {
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
    // A node that is down or paused is skipped.
    return undefined;
  }
}

/** Sums the bytes sent to other regions; undefined if no sample has a region label. */
function sumCrossRegion(samples: readonly MetricSample[], region: string): number | undefined {
  const withPeerRegion = samples.filter(
    ({ name, labels }) => name === BYTES_SENT && labels.peer_region !== undefined,
  );
  if (withPeerRegion.length === 0) return undefined;
  return withPeerRegion
    .filter(({ labels }) => labels.peer_region !== region)
    .reduce((sum, { value }) => sum + value, 0);
}

function createNodeTracker(node: FleetProcess) {
  let isFirst = true;
  const bytes: Counter = { last: 0, total: 0 };
  const cpu: Counter = { last: 0, total: 0 };
  const crossRegion: Counter = { last: 0, total: 0 };
  let peakRssBytes = 0;
  let hasRegionLabels = false;

  const sample = async () => {
    const samples = await scrape(node);
    if (samples === undefined) return;
    const crossRegionBytes = sumCrossRegion(samples, node.region);
    updateCounter(bytes, sumMetric(samples, BYTES_SENT));
    updateCounter(cpu, sumMetric(samples, CPU_SECONDS));
    updateCounter(crossRegion, crossRegionBytes ?? 0);
    hasRegionLabels ||= crossRegionBytes !== undefined;
    peakRssBytes = Math.max(peakRssBytes, sumMetric(samples, RSS_BYTES));
    // Usage before the first sample is not part of the run.
    if (isFirst)
      [bytes, cpu, crossRegion].forEach((counter) => Object.assign(counter, { total: 0 }));
    isFirst = false;
  };

  const usage = (): NodeUsage => ({
    name: node.name,
    role: node.role,
    controlBytes: bytes.total,
    crossRegionBytes: hasRegionLabels ? crossRegion.total : undefined,
    cpuSeconds: cpu.total,
    peakRssBytes,
  });

  return { sample, usage };
}

/** Starts periodic sampling; resolves after the first sample of each node. */
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
  let pendingSample = Promise.resolve();
  const timer = setInterval(() => {
    pendingSample = pendingSample.then(sampleAll);
  }, SAMPLE_PERIOD_MS);
  return {
    stop: async () => {
      clearInterval(timer);
      await pendingSample;
      await sampleAll();
      const seconds = (performance.now() - startMs) / 1000;
      return { seconds, nodes: trackers.map(({ usage }) => usage()), series };
    },
  };
}
