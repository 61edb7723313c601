/** Schema and key of claim objects. */
import { z } from 'zod';

import { ClaimStatus } from './types.js';

/** Prefix of claim objects. */
export const CLAIMS_PREFIX = 'claims/';

export const recordedResponseSchema = z.strictObject({
  status: z.number().int(),
  headers: z.array(z.tuple([z.string(), z.string()])),
  bodyBase64: z.string(),
});

export const claimSchema = z.strictObject({
  attempt: z.string(),
  backend: z.string(),
  sidecarIncarnation: z.string(),
  dataUrl: z.string(),
  routerIncarnation: z.string(),
  bodyDigest: z.string(),
  state: z.enum([ClaimStatus.Claimed, ClaimStatus.Recorded]),
  answer: recordedResponseSchema.optional(),
  claimedAtMs: z.number(),
  expiresAtMs: z.number(),
});

/** Key of the claim object with this digest of client account and `Idempotency-Key`. */
export const claimKey = (digest: string): string => `${CLAIMS_PREFIX}${digest}`;
