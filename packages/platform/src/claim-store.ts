/** Executes the store effects of the claim reducer and removes expired claims. */
import { CLAIMS_PREFIX, claimSchema } from '@kingcupsill/core';
import type { Claim, ClaimEffect, ClaimReadOutcome, ClaimWriteOutcome } from '@kingcupsill/core';

import { parseJson } from './http.js';
import type { ObjectClient, PutOutcome, ReadFailure } from './types.js';

/** Maximum size of an object in the object service, which also limits the response recorded in a claim. */
const MAX_OBJECT_BYTES = 1024 * 1024;

/** Effects of the claim reducer that produce a result. */
export type ClaimStoreEffect = Extract<
  ClaimEffect,
  { kind: 'store-read' | 'store-create' | 'store-update' }
>;

/** Result of a store effect: an event of the claim reducer without its time, which the caller adds. */
export type ClaimStoreResult =
  | { kind: 'claim-read'; outcome: ClaimReadOutcome }
  | { kind: 'claim-written'; outcome: ClaimWriteOutcome };

export type SweepOutcome = { ok: true; removed: number } | ReadFailure;

export interface ClaimStore {
  run(effect: ClaimStoreEffect): Promise<ClaimStoreResult>;
  remove(effect: Extract<ClaimEffect, { kind: 'store-remove' }>): Promise<void>;
  /**
   * Removes expired claims whose digest starts with `digestPrefix`, reading at most `limit` claims. Processes sweep different
   * prefixes in turn, which covers all claims at a bounded rate of calls.
   */
  sweep(request: { digestPrefix: string; nowMs: number; limit: number }): Promise<SweepOutcome>;
}

const encoder = new TextEncoder();

/** Encodes a claim, without its recorded response if the object would exceed the size limit. A repeated request is then refused. */
const encodeClaim = (claim: Claim): Uint8Array => {
  const body = encoder.encode(JSON.stringify(claim));
  if (body.length <= MAX_OBJECT_BYTES) return body;
  return encoder.encode(JSON.stringify({ ...claim, answer: undefined }));
};

const toWriteResult = (put: PutOutcome): ClaimStoreResult => {
  if (put.ok) return { kind: 'claim-written', outcome: { code: 'ok', version: put.version } };
  if (put.code === 'conflict' || put.code === 'unknown') {
    return { kind: 'claim-written', outcome: { code: put.code } };
  }
  return { kind: 'claim-written', outcome: { code: 'failed' } };
};

const readClaim = async (objects: ObjectClient, key: string): Promise<ClaimReadOutcome> => {
  const result = await objects.get(key);
  if (!result.ok) return { code: result.code === 'not-found' ? 'absent' : 'failed' };
  const parsed = claimSchema.safeParse(parseJson(result.body));
  if (!parsed.success) return { code: 'failed' };
  return { code: 'found', version: result.version, claim: parsed.data };
};

/** Creates the claim store. */
export const createClaimStore = (objects: ObjectClient): ClaimStore => {
  const handlers: {
    [K in ClaimStoreEffect['kind']]: (
      effect: Extract<ClaimStoreEffect, { kind: K }>,
    ) => Promise<ClaimStoreResult>;
  } = {
    'store-read': async ({ key }) => ({
      kind: 'claim-read',
      outcome: await readClaim(objects, key),
    }),
    'store-create': async ({ key, claim }) =>
      toWriteResult(await objects.put(key, encodeClaim(claim), { ifAbsent: true })),
    'store-update': async ({ key, claim, version }) =>
      toWriteResult(await objects.put(key, encodeClaim(claim), { ifVersion: version })),
  };

  const run = <K extends ClaimStoreEffect['kind']>(
    effect: Extract<ClaimStoreEffect, { kind: K }>,
  ): Promise<ClaimStoreResult> => handlers[effect.kind](effect);

  const removeIfExpired = async (key: string, nowMs: number): Promise<boolean> => {
    const read = await readClaim(objects, key);
    if (read.code !== 'found' || read.claim.expiresAtMs > nowMs) return false;
    const removed = await objects.remove(key, { ifVersion: read.version });
    return removed.ok;
  };

  return {
    run,
    remove: async ({ key, version }) => {
      await objects.remove(key, { ifVersion: version });
    },
    sweep: async ({ digestPrefix, nowMs, limit }) => {
      const listed = await objects.list(`${CLAIMS_PREFIX}${digestPrefix}`);
      if (!listed.ok) return listed;
      let removed = 0;
      for (const { key } of listed.objects.slice(0, limit)) {
        if (await removeIfExpired(key, nowMs)) removed += 1;
      }
      return { ok: true, removed };
    },
  };
};
