/** Parser for the Prometheus text exposition format. */
import { getOwn } from '@kingcupsill/core/collections';

/** One sample: metric name, labels and value. */
export interface MetricSample {
  name: string;
  labels: Record<string, string>;
  value: number;
}

const SAMPLE_LINE = /^([a-zA-Z_:][\w:]*)(?:\{(.*)\})? (\S+)/;
const LABEL = /([a-zA-Z_]\w*)="((?:[^"\\]|\\.)*)"/g;

function parseLine(line: string): MetricSample[] {
  const match = SAMPLE_LINE.exec(line);
  if (match === null) return [];
  const [, name = '', labelText = '', value = 'NaN'] = match;
  const labels = [...labelText.matchAll(LABEL)].map(([, key, text]) => [key, text]);
  return [
    { name, labels: Object.fromEntries(labels) as Record<string, string>, value: Number(value) },
  ];
}

/** Parses a metrics page; comments and malformed lines are skipped. */
export function parseMetrics(text: string): MetricSample[] {
  return text.split('\n').flatMap(parseLine);
}

/** Sums all samples with the given name and at least the given labels; 0 if none match. */
export function sumMetric(
  samples: readonly MetricSample[],
  name: string,
  labels: Readonly<Record<string, string>> = {},
): number {
  return samples
    .filter(
      (sample) =>
        sample.name === name &&
        Object.entries(labels).every(([key, value]) => getOwn(sample.labels, key) === value),
    )
    .reduce((sum, sample) => sum + sample.value, 0);
}
