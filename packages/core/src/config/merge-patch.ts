/** Generation of the JSON merge patch between two configurations. */
import jsonMergePatch from 'json-merge-patch';
import { getOwn, setOwn } from '../collections/index.js';

import { configEntrySchemas } from './schema.js';
import type { FleetConfig } from './types.js';

type Entries = Record<string, unknown>;

const CONFIG_PARTS = Object.keys(configEntrySchemas) as (keyof typeof configEntrySchemas)[];

/** Creates the patch of one part. Entries are diffed one by one because the library takes quadratic time in the size of an object. */
const createPartPatch = (before: Entries, after: Entries): Entries => {
  const patch: Entries = {};
  const ids = new Set([...Object.keys(before), ...Object.keys(after)]);
  ids.forEach((id) => {
    const [previous, next] = [getOwn(before, id), getOwn(after, id)];
    if (!Object.hasOwn(after, id)) {
      setOwn(patch, id, null);
      return;
    }
    if (previous === next) return;
    const change: unknown = Object.hasOwn(before, id)
      ? jsonMergePatch.generate<unknown>(previous, next)
      : next;
    if (change !== undefined) setOwn(patch, id, change);
  });
  return patch;
};

/** Creates the merge patch that turns the content of `before` into that of `after`; version and applied patches are excluded. */
export const createMergePatch = (before: FleetConfig, after: FleetConfig): Entries => {
  const patch: Entries = {};
  CONFIG_PARTS.forEach((part) => {
    const change = createPartPatch(before[part], after[part]);
    if (Object.keys(change).length > 0) patch[part] = change;
  });
  return patch;
};
