/** Settings of the sidecar. */
import {
  adminSection,
  linkDialerSection,
  platformSection,
  processSection,
} from '@kingcupsill/runtime';
import type { Settings } from '@kingcupsill/runtime';
import { z } from 'zod';

import { BackendKind } from './backend/types.js';

/** Schema of the INI settings of `kingcupsill-sidecar`. */
export const sidecarSchema = z.strictObject({
  process: processSection,
  backend: z.strictObject({
    id: z.string().min(1).describe('id of the backend server in the configuration'),
    url: z.url({ protocol: /^https?$/ }).describe('base URL of the backend server'),
    kind: z
      .enum(BackendKind)
      .describe('engine: supports list, cancel and resume; plain: any HTTP server'),
  }),
  data: z.strictObject({
    host: z
      .string()
      .min(1)
      .default('127.0.0.1')
      .describe('address on which routers reach the sidecar'),
    port: z.number().int().min(0).max(65535).default(0).describe('0 selects a free port'),
    max_body_bytes: z
      .number()
      .int()
      .positive()
      .default(8 * 1024 * 1024)
      .describe('maximum size of a request body, in bytes'),
  }),
  link: linkDialerSection,
  admin: adminSection,
  platform: platformSection,
  fairness: z.strictObject({
    policy: z
      .enum(['fair', 'naive'])
      .default('fair')
      .describe('naive is a baseline for benchmarks'),
    grant_ttl_ms: z
      .number()
      .int()
      .positive()
      .default(1000)
      .describe('time after which an unused grant expires, in milliseconds'),
    max_links: z
      .number()
      .int()
      .positive()
      .default(8)
      .describe('maximum number of routers linked to the sidecar'),
  }),
});

/** Parsed settings of the sidecar. */
export type SidecarSettings = Settings<typeof sidecarSchema>;
