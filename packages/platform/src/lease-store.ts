/** Runs the store effects of the lease reducer. */
import { leaseSchema } from '@kingcupsill/core';
import type {
  LeaseEffect,
  LeaseEvent,
  LeaseReadOutcome,
  LeaseWriteOutcome,
} from '@kingcupsill/core';

import { parseJson } from './http.js';
import type { GetOutcome, ObjectClient, PutOutcome } from './types.js';

/** Effects that the lease store runs and answers. */
export type LeaseStoreEffect = Extract<LeaseEffect, { kind: 'store-read' | 'store-write' }>;

type WithoutTime<E> = E extends unknown ? Omit<E, 'nowMs'> : never;

/** Answer to a store effect; the host adds the time at which it handles it. */
export type LeaseStoreResult = WithoutTime<
  Extract<LeaseEvent, { kind: 'lease-read' | 'lease-written' }>
>;

const encoder = new TextEncoder();

const toRead = (got: GetOutcome): LeaseReadOutcome => {
  if (!got.ok) return { code: got.code === 'not-found' ? 'absent' : 'failed' };
  const parsed = leaseSchema.safeParse(parseJson(got.body));
  if (!parsed.success) return { code: 'failed' };
  return { code: 'found', version: got.version, lease: parsed.data };
};

const toWritten = (put: PutOutcome): LeaseWriteOutcome => {
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
    outcome: toRead(await objects.get(key)),
  }),
  'store-write': async (objects, { key, version, lease }) => {
    const condition = version === undefined ? { ifAbsent: true } : { ifVersion: version };
    const put = await objects.put(key, encoder.encode(JSON.stringify(lease)), condition);
    return { kind: 'lease-written', outcome: toWritten(put) };
  },
};

/** Makes the call that the effect asks for. */
export const runLeaseStoreEffect = <K extends LeaseStoreEffect['kind']>(
  objects: ObjectClient,
  effect: Extract<LeaseStoreEffect, { kind: K }>,
): Promise<LeaseStoreResult> => handlers[effect.kind](objects, effect);
