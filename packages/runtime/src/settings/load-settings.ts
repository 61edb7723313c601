/** Loading of settings from an INI file and environment variables, with validation against a schema. */
import { getOwn, setOwn } from '@kingcupsill/core/collections';
import { readFileSync, statSync } from 'node:fs';
import { parse } from 'ini';
import type { z } from 'zod';
import { listFields, ENVIRONMENT_PREFIX } from './fields.js';
import type {
  FieldDescription,
  FieldKind,
  LoadedSettings,
  LoadSettingsOptions,
  Settings,
  SettingsSchema,
} from './types.js';

type RawSection = Record<string, unknown>;
/** Values of a file by section and key, before their validation. */
export type RawSettings = Record<string, RawSection>;
/** Called with what a lenient reader passes over; a strict one takes it for an error. */
type Warn = (message: string) => void;
type Result<TValue> = { ok: true; value: TValue } | { ok: false; message: string };

/** Hundreds of times the size of a file with all keys. */
const MAX_FILE_BYTES = 256 * 1024;

const BYTE_ORDER_MARK = /^\uFEFF/;

const BOOLEANS_BY_TEXT: Record<string, boolean> = {
  true: true,
  yes: true,
  1: true,
  false: false,
  no: false,
  0: false,
};

const PARSERS: Record<FieldKind, (text: string) => unknown> = {
  string: (text) => text,
  number: (text) => (/^-?\d+(\.\d+)?$/.test(text) ? Number(text) : text),
  boolean: (text) => getOwn(BOOLEANS_BY_TEXT, text.toLowerCase()) ?? text,
};

/** Loads and validates settings. Text values are converted to numbers and booleans according to the schema. */
export function loadSettings<TSchema extends SettingsSchema>(
  options: LoadSettingsOptions<TSchema>,
): LoadedSettings<TSchema> {
  const { schema, file, env } = options;
  const fileSections = file === undefined ? { ok: true as const, value: {} } : readSections(file);
  if (!fileSections.ok) return fileSections;
  const merged = applyEnvironment(schema, fileSections.value, env);
  if (!merged.ok) return merged;
  const coerced = coerceSections(schema, merged.value);
  const parsed = schema.safeParse(coerced);
  if (!parsed.success) return { ok: false, message: describeIssue(parsed.error.issues[0]!, file) };
  return { ok: true, settings: camelCaseSections(parsed.data) as Settings<TSchema> };
}

/** Reads the sections of a file. */
export function readSections(file: string, warn?: Warn): Result<RawSettings> {
  const text = readSettingsFile(file);
  if (!text.ok) return text;
  const sections: RawSettings = {};
  for (const [name, value] of Object.entries(parse(text.value))) {
    const message = `${file}: key ${name} is not in a section`;
    if (isSection(value)) setOwn(sections, name, { ...value });
    else if (warn === undefined) return { ok: false, message };
    else warn(message);
  }
  return { ok: true, value: sections };
}

function readSettingsFile(file: string): Result<string> {
  try {
    // eslint-disable-next-line n/no-sync -- takes microseconds
    const { size } = statSync(file);
    if (size > MAX_FILE_BYTES)
      return {
        ok: false,
        message: `${file}: settings file has ${size} bytes, over ${MAX_FILE_BYTES}`,
      };
    // eslint-disable-next-line n/no-sync -- a few kilobytes, read at the start and when they have changed
    return { ok: true, value: readFileSync(file, 'utf8').replace(BYTE_ORDER_MARK, '') };
  } catch (err) {
    const code = (err as NodeJS.ErrnoException).code ?? String(err);
    return { ok: false, message: `${file}: settings file can't be read (${code})` };
  }
}

function isSection(value: unknown): value is RawSection {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/**
 * Overrides keys from the environment. Variables of unknown sections are ignored, since they may belong to other binaries; unknown
 * keys of known sections are errors.
 */
export function applyEnvironment(
  schema: SettingsSchema,
  sections: RawSettings,
  env: Record<string, string | undefined>,
  warn?: Warn,
): Result<RawSettings> {
  const fields = new Map(listFields(schema).map((field) => [field.variable, field]));
  const merged: RawSettings = { ...sections };
  for (const [name, value] of Object.entries(env)) {
    const field = fields.get(name);
    if (field !== undefined && value !== undefined) {
      setOwn(merged, field.section, {
        ...getOwn(merged, field.section),
        [field.key]: value,
      });
    } else if (field === undefined) {
      const section = findSectionOfVariable(schema, name);
      const message = section && unknownKeyMessage(name, section);
      if (message !== undefined && warn === undefined) return { ok: false, message };
      if (message !== undefined) warn?.(message);
    }
  }
  return { ok: true, value: merged };
}

function findSectionOfVariable(schema: SettingsSchema, name: string): string | undefined {
  return Object.keys(schema.shape).find((section) =>
    name.startsWith(`${ENVIRONMENT_PREFIX}${section.toUpperCase()}_`),
  );
}

function unknownKeyMessage(name: string, section: string): string {
  const key = name.slice(`${ENVIRONMENT_PREFIX}${section}_`.length).toLowerCase();
  return `environment variable ${name}: [${section}] ${key}: unknown key`;
}

/** Converts all values by type. Missing required sections are added as empty ones, so that errors name the missing key. */
export function coerceSections(schema: SettingsSchema, sections: RawSettings): RawSettings {
  const coerced: RawSettings = { ...sections };
  const fields = listFields(schema);
  for (const [name, section] of Object.entries(schema.shape)) {
    const given = getOwn(sections, name);
    if (given !== undefined || !section.safeParse(undefined).success) {
      const sectionFields = fields.filter((field) => field.section === name);
      setOwn(coerced, name, coerceSection(sectionFields, given ?? {}));
    }
  }
  return coerced;
}

function coerceSection(fields: FieldDescription[], section: RawSection): RawSection {
  const fieldByKey = new Map(fields.map((field) => [field.key, field]));
  return Object.fromEntries(
    Object.entries(section)
      .filter(([key, value]) => !isUnset(fieldByKey.get(key), value))
      .map(([key, value]) => [key, coerceValue(fieldByKey.get(key)?.kind, value)]),
  );
}

/** A key without a value states nothing if the key may be missing, as templates render values that don't exist. */
function isUnset(field: FieldDescription | undefined, value: unknown): boolean {
  const mayBeMissing = field !== undefined && !field.required && field.defaultValue === undefined;
  return mayBeMissing && String(value).trim() === '';
}

/** Converts a value by type. The INI parser converts `true`, `false` and `null`, so values are turned back into text first. */
function coerceValue(kind: FieldKind | undefined, value: unknown): unknown {
  if (kind === undefined || (typeof value === 'object' && value !== null)) return value;
  return PARSERS[kind](String(value).trim());
}

/** Describes an issue of the validation in one line with section and key. */
export function describeIssue(issue: z.core.$ZodIssue, file: string | undefined): string {
  const source = file ?? 'settings';
  const [section, key] = issue.path.map(String);
  if (issue.code === 'unrecognized_keys') {
    const names = issue.keys.join(', ');
    return section === undefined
      ? `${source}: [${names}]: unknown section`
      : `${source}: [${section}] ${names}: unknown key`;
  }
  return `${source}: [${section}] ${key ?? ''}: ${describeValueIssue(issue)}`;
}

function describeValueIssue(issue: z.core.$ZodIssue): string {
  const isMissing = issue.code === 'invalid_type' && issue.message.endsWith('received undefined');
  return isMissing ? 'missing key' : issue.message;
}

function toCamelCase(name: string): string {
  return name.replace(/_([a-z0-9])/g, (_match, letter: string) => letter.toUpperCase());
}

function camelCaseKeys(section: Record<string, unknown>): Record<string, unknown> {
  return Object.fromEntries(
    Object.entries(section).map(([key, value]) => [toCamelCase(key), value]),
  );
}

/** Converts the names of sections and keys to camel case. */
export function camelCaseSections(settings: Record<string, unknown>): Record<string, unknown> {
  return Object.fromEntries(
    Object.entries(settings).map(([name, section]) => [
      toCamelCase(name),
      isSection(section) ? camelCaseKeys(section) : section,
    ]),
  );
}
