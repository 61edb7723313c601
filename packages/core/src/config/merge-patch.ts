/** Derives the merge patch between two configurations. */
import jsonMergePatch from 'json-merge-patch';

import { configEntrySchemas } from './schema.js';
import type { FleetConfig } from './types.js';

type Entries = Record<string, unknown>;

const CONFIG_PARTS = Object.keys(configEntrySchemas) as (keyof typeof configEntrySchemas)[];

/** Patch of one part. The library is asked entry by entry, as its time grows with the square of an object's size. */
const createPartPatch = (before: Entries, after: Entries): Entries => {
  const patch: Entries = {};
  const ids = new Set([...Object.keys(before), ...Object.keys(after)]);
  ids.forEach((id) => {
    if (!Object.hasOwn(after, id)) {
      patch[id] = null;
      return;
    }
    if (before[id] === after[id]) return;
    const change: unknown = Object.hasOwn(before, id)
      ? jsonMergePatch.generate<unknown>(before[id], after[id])
      : after[id];
    if (change !== undefined) patch[id] = change;
  });
  return patch;
};

/** Creates the merge patch that leads from one configuration's content to another's; version and patch ids are left out. */
export const createMergePatch = (before: FleetConfig, after: FleetConfig): Entries => {
  const patch: Entries = {};
  CONFIG_PARTS.forEach((part) => {
    const change = createPartPatch(before[part], after[part]);
    if (Object.keys(change).length > 0) patch[part] = change;
  });
  return patch;
};
