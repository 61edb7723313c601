/** Settings of the command line, from an INI file and `KINGCUPSILL_*` environment variables. */
import { loadSettings, platformSection } from '@kingcupsill/runtime';
import { z } from 'zod';

const operatorSection = z.strictObject({
  key: z
    .string()
    .min(1)
    .optional()
    .describe('secret key of the operator, required once operators exist'),
});

const fleetSection = z.strictObject({
  admin: z
    .string()
    .default('')
    .describe('comma-separated admin addresses (host:port) of processes'),
  admin_port: z
    .number()
    .int()
    .min(1)
    .max(65535)
    .optional()
    .describe('admin port on the hosts of the instance list, used if admin is empty'),
  admin_token: z.string().min(1).optional().describe('bearer token for the admin servers'),
});

/** Settings of commands that call the platform. */
export const platformSettingsSchema = z.object({
  platform: platformSection,
  operator: operatorSection,
  fleet: fleetSection,
});

/** Settings of commands that only call admin servers of processes. */
export const adminSettingsSchema = z.object({
  operator: operatorSection,
  fleet: fleetSection,
});

export { loadSettings };
