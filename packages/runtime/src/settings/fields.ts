/** Sections and keys of a zod schema, with the types needed to parse their text. */
import type { z } from 'zod';
import type { FieldDescription, FieldKind, SettingsSchema } from './types.js';

/** Prefix of all environment variables that override settings. */
export const ENVIRONMENT_PREFIX = 'KINGCUPSILL_';

interface UnwrappedField {
  schema: z.core.$ZodType;
  optional: boolean;
  defaultValue: unknown;
}

type SchemaDefinition = z.core.$ZodTypeDef & {
  innerType?: z.core.$ZodType;
  in?: z.core.$ZodType;
  defaultValue?: unknown;
  entries?: Record<string, string>;
};

const FIELD_KINDS: Partial<Record<string, FieldKind>> = { number: 'number', boolean: 'boolean' };

function definitionOf(schema: z.core.$ZodType): SchemaDefinition {
  return schema._zod.def;
}

function unwrapField(schema: z.core.$ZodType): UnwrappedField {
  const def = definitionOf(schema);
  const inner = def.innerType ?? (def.type === 'pipe' ? def.in : undefined);
  if (inner === undefined) return { schema, optional: false, defaultValue: undefined };
  const unwrapped = unwrapField(inner);
  return {
    schema: unwrapped.schema,
    optional: unwrapped.optional || def.type === 'optional' || def.type === 'default',
    defaultValue: def.type === 'default' ? def.defaultValue : unwrapped.defaultValue,
  };
}

/** Returns the name of the environment variable that overrides a key. */
export function environmentVariableName(section: string, key: string): string {
  return `${ENVIRONMENT_PREFIX}${section}_${key}`.toUpperCase();
}

function describeField(section: string, key: string, field: z.core.$ZodType): FieldDescription {
  const { schema, optional, defaultValue } = unwrapField(field);
  const def = definitionOf(schema);
  return {
    section,
    key,
    kind: FIELD_KINDS[def.type] ?? 'string',
    choices: def.type === 'enum' ? Object.values(def.entries ?? {}) : [],
    required: !optional,
    defaultValue: defaultValue === undefined ? undefined : String(defaultValue),
    description: (field as z.ZodType).description ?? (schema as z.ZodType).description ?? '',
    variable: environmentVariableName(section, key),
  };
}

/** Lists all keys of all sections in schema order. */
export function listFields(schema: SettingsSchema): FieldDescription[] {
  return Object.entries(schema.shape).flatMap(([section, sectionSchema]) =>
    Object.entries(sectionSchema.shape).map(([key, field]) => describeField(section, key, field)),
  );
}
