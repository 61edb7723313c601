/** Schema of lease objects. */
import { z } from 'zod';

export const leaseSchema = z.strictObject({
  holder: z.string().optional(),
  fencing: z.number().int().positive(),
  durationMs: z.number().positive(),
  write: z.number().int().positive(),
});
