/** Differences between two configurations. */
import { formatPath } from './path.js';
import type { ConfigDifference, FleetConfig } from './types.js';

const COMPARED_PARTS = ['accounts', 'services', 'backends', 'operators'] as const;

const isObject = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

const collect = (
  path: readonly string[],
  before: unknown,
  after: unknown,
  into: ConfigDifference[],
): void => {
  if (isObject(before) && isObject(after)) {
    const names = new Set([...Object.keys(before), ...Object.keys(after)]);
    names.forEach((name) => collect([...path, name], before[name], after[name], into));
    return;
  }
  if (before === after || JSON.stringify(before) === JSON.stringify(after)) return;
  into.push({ path: formatPath(path), before, after });
};

/** Lists the values that differ; entries added or removed are listed whole. Version and patch ids are not compared. */
export const diffConfig = (before: FleetConfig, after: FleetConfig): ConfigDifference[] => {
  const differences: ConfigDifference[] = [];
  COMPARED_PARTS.forEach((part) => collect([part], before[part], after[part], differences));
  return differences;
};
