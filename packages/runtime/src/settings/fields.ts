/** Reads from a zod schema which sections and keys it has and how their text is to be read. */
import type { z } from 'zod';
import type { FieldDescription, FieldKind, SettingsSchema } from './types.js';

/** Start of all environment variables that override settings. */
export const ENVIRONMENT_PREFIX = 'KINGCUPSILL_';

interface UnwrappedField {
  schema: z.core.$ZodType;
  optional: boolean;
  defaultValue: unknown;
}

type AnyDef = z.core.$ZodTypeDef & {
  innerType?: z.core.$ZodType;
  in?: z.core.$ZodType;
  defaultValue?: unknown;
  entries?: Record<string, string>;
};

const FIELD_KINDS: Partial<Record<string, FieldKind>> = { number: 'number', boolean: 'boolean' };

function defOf(schema: z.core.$ZodType): AnyDef {
  return schema._zod.def;
}

function unwrapField(schema: z.core.$ZodType): UnwrappedField {
  const def = defOf(schema);
  const inner = def.innerType ?? (def.type === 'pipe' ? def.in : undefined);
  if (inner === undefined) return { schema, optional: false, defaultValue: undefined };
  const unwrapped = unwrapField(inner);
  return {
    schema: unwrapped.schema,
    optional: unwrapped.optional || def.type === 'optional' || def.type === 'default',
    defaultValue: def.type === 'default' ? def.defaultValue : unwrapped.defaultValue,
  };
}

/** Name of the variable that overrides a key. */
export function environmentVariableName(section: string, key: string): string {
  return `${ENVIRONMENT_PREFIX}${section}_${key}`.toUpperCase();
}

function describeField(section: string, key: string, field: z.core.$ZodType): FieldDescription {
  const { schema, optional, defaultValue } = unwrapField(field);
  const def = defOf(schema);
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

/** Lists every key of every section, in the schema's order. */
export function listFields(schema: SettingsSchema): FieldDescription[] {
  return Object.entries(schema.shape).flatMap(([section, sectionSchema]) =>
    Object.entries(sectionSchema.shape).map(([key, field]) => describeField(section, key, field)),
  );
}
