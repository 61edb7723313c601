/** Reads the text format of Prometheus. */

/** One sample line. */
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

/** Samples of a metrics page; comments and unreadable lines are skipped. */
export function parseMetrics(text: string): MetricSample[] {
  return text.split('\n').flatMap(parseLine);
}

/** Sum over all samples of one name that carry the labels given; 0 without any. */
export function sumMetric(
  samples: readonly MetricSample[],
  name: string,
  labels: Readonly<Record<string, string>> = {},
): number {
  return samples
    .filter(
      (sample) =>
        sample.name === name &&
        Object.entries(labels).every(([key, value]) => sample.labels[key] === value),
    )
    .reduce((sum, sample) => sum + sample.value, 0);
}
