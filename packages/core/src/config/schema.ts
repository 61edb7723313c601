/** Schema of the configuration document. Unknown keys are errors, so that a misspelt setting is noticed. */
import { z } from 'zod';

import { ServiceKind } from './types.js';

/** Patches whose ids the document keeps. */
export const MAX_APPLIED_PATCHES = 100;

/** Names that the merge patch library treats specially, or that would hide methods it calls. */
export const RESERVED_NAMES: ReadonlySet<string> = new Set([
  '__proto__',
  'constructor',
  'prototype',
  'hasOwnProperty',
  'toJSON',
]);

const ID_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$/;

/** Id of an account, service, backend server, operator, pool, zone or region. */
export const configIdSchema = z
  .string()
  .regex(ID_PATTERN, 'must be 1 to 128 letters, digits, dots, colons, hyphens or underscores')
  .refine((id) => !RESERVED_NAMES.has(id), 'is a reserved name');

const digestSchema = z
  .string()
  .regex(/^[0-9a-f]{64}$/, 'must be a lower-case hex SHA-256 digest of 64 digits');

const positive = z.number().positive();
const positiveInt = z.number().int().positive();

export const clientAccountSchema = z.strictObject({
  share: positive,
  services: z.array(configIdSchema),
  keyHashes: z.array(digestSchema),
  maxQueued: positiveInt.optional(),
});

export const routeRuleSchema = z.strictObject({
  method: z.string().regex(/^([A-Z]+|\*)$/, 'must be an upper-case HTTP method or *'),
  pathPrefix: z.string().startsWith('/'),
  idempotent: z.boolean(),
});

export const serviceSchema = z.strictObject({
  kind: z.enum([ServiceKind.Model, ServiceKind.Plain]),
  pool: configIdSchema,
  routes: z.array(routeRuleSchema).optional(),
  queueTimeoutMs: positiveInt.optional(),
});

export const backendServerSchema = z.strictObject({
  pool: configIdSchema,
  zone: configIdSchema,
  region: configIdSchema,
  slots: positiveInt,
  models: z.array(z.string().min(1).max(200)).optional(),
  checksFencing: z.boolean().optional(),
  draining: z.boolean().optional(),
});

export const operatorSchema = z.strictObject({
  keyHashes: z.array(digestSchema),
  mayChange: z.array(z.enum(['*', 'accounts', 'services', 'backends', 'operators'])),
});

export const appliedPatchSchema = z.strictObject({
  id: z.string().min(1).max(200),
  version: positiveInt,
});

/** The whole document. */
export const fleetConfigSchema = z.strictObject({
  version: z.number().int().nonnegative(),
  accounts: z.record(configIdSchema, clientAccountSchema),
  services: z.record(configIdSchema, serviceSchema),
  backends: z.record(configIdSchema, backendServerSchema),
  operators: z.record(configIdSchema, operatorSchema),
  appliedPatches: z.array(appliedPatchSchema).max(MAX_APPLIED_PATCHES),
});

/** An accepted patch as the object service keeps it. */
export const configHistoryEntrySchema = z.object({
  version: positiveInt,
  id: z.string().min(1).max(200),
  patch: z.record(z.string(), z.unknown()),
  undo: z.record(z.string(), z.unknown()),
  author: z.string(),
  reason: z.string(),
  time: z.string(),
});

/** Schemas of one entry of each part that patches may change. */
export const configEntrySchemas = {
  accounts: clientAccountSchema,
  services: serviceSchema,
  backends: backendServerSchema,
  operators: operatorSchema,
} as const;

/** Name of a part that patches may change. */
export type ConfigPart = keyof typeof configEntrySchemas;

/** Whether the name is that of a part that patches may change. */
export const isConfigPart = (name: string): name is ConfigPart =>
  Object.hasOwn(configEntrySchemas, name);
