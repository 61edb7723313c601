/** What a process answers at `GET /config/status` of its admin server. */
import { z } from 'zod';

const count = z.number().int().nonnegative();

export const configStatusSchema = z.object({
  version: count,
  inForceForMs: z.number(),
  newestVersion: count,
  behindForMs: z.number(),
  isWatcher: z.boolean(),
  storeAnsweredAgoMs: z.number().optional(),
});

export const processConfigStatusSchema = z.object({
  id: z.string(),
  role: z.enum(['router', 'sidecar']),
  zone: z.string(),
  config: configStatusSchema,
});

/** A process and its configuration, see `configStatus`. */
export type ProcessConfigStatus = z.infer<typeof processConfigStatusSchema>;
