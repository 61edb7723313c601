/** Formats the figures of a run as text. */
import type { RunResult, RunSummary, ScaleFigures, ScalePoint, ScaleSlopes } from '../run/index.js';

/** Formats a figure with three significant digits; null becomes a dash. */
export function formatFigure(value: number | null): string {
  return value === null ? '-' : String(Number(value.toPrecision(3)));
}

/** Returns the figures of a summary as pairs of name and formatted value. */
export function summaryRows(summary: RunSummary): [string, string][] {
  const { requests, firstTokenMs, addedFirstTokenMs, configInForceMs } = summary;
  const counts = Object.entries(requests).map(([name, value]): [string, string] => [
    name,
    String(value),
  ]);
  return [
    ...counts,
    ['fairnessGapSlotSeconds', formatFigure(summary.fairnessGapSlotSeconds)],
    ['largestRequestSlotSeconds', formatFigure(summary.largestRequestSlotSeconds)],
    ['utilisation', formatFigure(summary.utilisation)],
    ['controlBytesPerNodePerSecond', formatFigure(summary.controlBytesPerNodePerSecond)],
    ['crossRegionBytes', formatFigure(summary.crossRegionBytes)],
    ['controlCpuPercentOfCore', formatFigure(summary.controlCpuPercentOfCore)],
    ['peakRssMb', formatFigure(summary.peakRssMb)],
    ['firstTokenMs p50', formatFigure(firstTokenMs.p50)],
    ['firstTokenMs p95', formatFigure(firstTokenMs.p95)],
    ['firstTokenMs p99', formatFigure(firstTokenMs.p99)],
    ['addedFirstTokenMs p50', formatFigure(addedFirstTokenMs.p50)],
    ['addedFirstTokenMs p99', formatFigure(addedFirstTokenMs.p99)],
    ['configInForceMs max', formatFigure(configInForceMs.max)],
  ];
}

/** Returns the name of a run, made of scenario, policy, number of routers and seed. */
export function runName({ scenario, policy, seed, routers }: RunSummary): string {
  return `${scenario}-${policy}-${routers}r-${seed}`;
}

function describePoint(point: ScalePoint): string {
  return (
    `  ${point.routers} routers, ${point.accounts} accounts: ` +
    `${formatFigure(point.bytesPerNodePerSecond)} B/s per node, ` +
    `${formatFigure(point.bytesPerRouterPerSecond)} B/s per router, ` +
    `${formatFigure(point.bytesPerSidecarPerSecond)} B/s per sidecar, ` +
    `${formatFigure(point.cpuPercentOfCore)}% of a core, ${formatFigure(point.peakRssMb)} MB`
  );
}

function describeSlopes(name: string, slopes: ScaleSlopes): string {
  const figures = Object.entries(slopes).map(
    ([field, value]) => `${field} ${formatFigure(value as number)}`,
  );
  return `  slopes ${name}: ${figures.join(', ')}`;
}

function describeScale(scale: ScaleFigures | undefined): string[] {
  if (scale === undefined) return [];
  return [
    ...[...scale.byRouters, ...scale.byAccounts].map(describePoint),
    describeSlopes('per router', scale.perRouter),
    describeSlopes('per account', scale.perAccount),
  ];
}

/** Returns the lines of the text report of a result. */
export function describeResult({ summary, details }: RunResult): string[] {
  const baseline = details.baselineFirstTokenMs;
  return [
    `${summary.scenario}, ${summary.policy}, seed ${summary.seed}, ${summary.routers} routers`,
    ...summaryRows(summary).map(([name, value]) => `  ${name.padEnd(30)} ${value}`),
    `  idle node: ${formatFigure(details.idle.cpuPercentOfCore)}% of a core, ` +
      `${formatFigure(details.idle.bytesPerNodePerSecond)} B/s`,
    ...details.pools.map(
      (pool) =>
        `  pool ${pool.pool}: ${pool.slots} slots, gap ${formatFigure(pool.fairnessGapSlotSeconds)} ` +
        `(${pool.gapAccounts.join(', ')}; bound ${formatFigure(pool.gapBoundSlotSeconds)}), utilisation ` +
        `${formatFigure(pool.utilisation)}, without allowance ${formatFigure(pool.strictUtilisation)}`,
    ),
    ...details.outcomes.map(({ outcome, code, count }) => `  ${outcome} ${code}: ${count}`),
    ...(baseline === null ? [] : [`  without the flood: p95 ${formatFigure(baseline.p95)} ms`]),
    `  runs started on a draining backend server more than 2 s after the drain began: ${details.lateStarts}`,
    ...details.notes.map((note) => `  ${note}`),
    ...describeScale(details.scale),
  ];
}
