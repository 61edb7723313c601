/** Comparison of two configurations. */
import { getOwn } from '../collections/index.js';
import { formatPath } from './path.js';
import type { ConfigDifference, FleetConfig } from './types.js';

const COMPARED_PARTS = ['accounts', 'services', 'backends', 'operators'] as const;

const isObject = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

const collectDifferences = (
  path: readonly string[],
  before: unknown,
  after: unknown,
  differences: ConfigDifference[],
): void => {
  if (isObject(before) && isObject(after)) {
    const names = new Set([...Object.keys(before), ...Object.keys(after)]);
    names.forEach((name) =>
      collectDifferences([...path, name], getOwn(before, name), getOwn(after, name), differences),
    );
    return;
  }
  if (before === after || JSON.stringify(before) === JSON.stringify(after)) return;
  differences.push({ path: formatPath(path), before, after });
};

/** Lists the values that differ; an added or removed entry is one difference. Version and applied patches are ignored. */
export const diffConfig = (before: FleetConfig, after: FleetConfig): ConfigDifference[] => {
  const differences: ConfigDifference[] = [];
  COMPARED_PARTS.forEach((part) =>
    collectDifferences([part], before[part], after[part], differences),
  );
  return differences;
};
