/** Executes the store effects of the lease reducer. */
import { leaseSchema } from '@kingcupsill/core';
import type {
  LeaseEffect,
  LeaseEvent,
  LeaseReadOutcome,
  LeaseWriteOutcome,
} from '@kingcupsill/core';

import { parseJson } from './http.js';
import type { GetOutcome, ObjectClient, PutOutcome } from './types.js';

/** Effects of the lease reducer that access the object service. */
export type LeaseStoreEffect = Extract<LeaseEffect, { kind: 'store-read' | 'store-write' }>;

type WithoutTime<E> = E extends unknown ? Omit<E, 'nowMs'> : never;

/** Result of a store effect: an event of the lease reducer without its time, which the caller adds. */
export type LeaseStoreResult = WithoutTime<
  Extract<LeaseEvent, { kind: 'lease-read' | 'lease-written' }>
>;

const encoder = new TextEncoder();

const toReadOutcome = (got: GetOutcome): LeaseReadOutcome => {
  if (!got.ok) return { code: got.code === 'not-found' ? 'absent' : 'failed' };
  const parsed = leaseSchema.safeParse(parseJson(got.body));
  if (!parsed.success) return { code: 'failed' };
  return { code: 'found', version: got.version, lease: parsed.data };
};

const toWriteOutcome = (put: PutOutcome): LeaseWriteOutcome => {
  if (put.ok) return { code: 'ok', version: put.version };
  if (put.code === 'conflict' || put.code === 'unknown') return { code: put.code };
  return { code: 'failed' };
};

const handlers: {
  [K in LeaseStoreEffect['kind']]: (
    objects: ObjectClient,
    effect: Extract<LeaseStoreEffect, { kind: K }>,
  ) => Promise<LeaseStoreResult>;
} = {
  'store-read': async (objects, { key }) => ({
    kind: 'lease-read',
    outcome: toReadOutcome(await objects.get(key)),
  }),
  'store-write': async (objects, { key, version, lease }) => {
    const condition = version === undefined ? { ifAbsent: true } : { ifVersion: version };
    const put = await objects.put(key, encoder.encode(JSON.stringify(lease)), condition);
    return { kind: 'lease-written', outcome: toWriteOutcome(put) };
  },
};

/** Executes a store effect and returns its result. */
export const runLeaseStoreEffect = <K extends LeaseStoreEffect['kind']>(
  objects: ObjectClient,
  effect: Extract<LeaseStoreEffect, { kind: K }>,
): Promise<LeaseStoreResult> => handlers[effect.kind](objects, effect);
