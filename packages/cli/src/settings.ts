/** Settings of the command line: an INI file and `KINGCUPSILL_*` environment variables. */
import { loadSettings, platformSection } from '@kingcupsill/runtime';
import { z } from 'zod';

const operatorSection = z.strictObject({
  key: z.string().min(1).optional().describe("operator's key; needed once operators exist"),
});

const fleetSection = z.strictObject({
  admin: z
    .string()
    .default('')
    .describe('admin addresses of processes, host:port, separated by commas'),
  admin_port: z
    .number()
    .int()
    .min(1)
    .max(65535)
    .optional()
    .describe('admin port on the hosts of the instance list, used when admin is empty'),
  admin_token: z.string().min(1).optional().describe('bearer token of the admin servers'),
});

/** Settings of commands that use the platform. */
export const platformSettingsSchema = z.object({
  platform: platformSection,
  operator: operatorSection,
  fleet: fleetSection,
});

/** Settings of commands that only talk to processes. */
export const adminSettingsSchema = z.object({
  operator: operatorSection,
  fleet: fleetSection,
});

export { loadSettings };
