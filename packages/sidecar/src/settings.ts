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

/** INI schema of `kingcupsill-sidecar`. */
export const sidecarSchema = z.strictObject({
  process: processSection,
  backend: z.strictObject({
    id: z.string().min(1).describe('id of the backend server in the configuration'),
    url: z.url({ protocol: /^https?$/ }).describe('base URL of the backend server'),
    kind: z.enum(BackendKind).describe('engine: can list, cancel and resume; plain: any HTTP'),
  }),
  data: z.strictObject({
    host: z.string().min(1).default('127.0.0.1').describe('address for routers to reach'),
    port: z.number().int().min(0).max(65535).default(0).describe('0 takes a free port'),
    max_body_bytes: z
      .number()
      .int()
      .positive()
      .default(8 * 1024 * 1024)
      .describe('largest request body, in bytes'),
  }),
  link: linkDialerSection,
  admin: adminSection,
  platform: platformSection,
  fairness: z.strictObject({
    policy: z.enum(['fair', 'naive']).default('fair').describe('naive is a measurement baseline'),
    grant_ttl_ms: z.number().int().positive().default(1000).describe('life of a grant'),
    max_links: z.number().int().positive().default(8).describe('routers to keep links to'),
  }),
});

/** Settings of the sidecar as the process reads them. */
export type SidecarSettings = Settings<typeof sidecarSchema>;
