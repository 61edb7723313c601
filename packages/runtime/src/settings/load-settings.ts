/** Reads settings from an INI file and the environment and checks them against a schema. */
import { readFileSync } from 'node:fs';
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
type RawSettings = Record<string, RawSection>;
type Outcome<TValue> = { ok: true; value: TValue } | { ok: false; message: string };

const BOOLEAN_TEXTS: Partial<Record<string, boolean>> = {
  true: true,
  yes: true,
  1: true,
  false: false,
  no: false,
  0: false,
};

const COERCIONS: Record<FieldKind, (text: string) => unknown> = {
  string: (text) => text,
  number: (text) => (/^-?\d+(\.\d+)?$/.test(text) ? Number(text) : text),
  boolean: (text) => BOOLEAN_TEXTS[text.toLowerCase()] ?? text,
};

/** Reads settings. Values are text in the file and the environment; numbers and booleans are converted by the schema's types. */
export function loadSettings<TSchema extends SettingsSchema>(
  options: LoadSettingsOptions<TSchema>,
): LoadedSettings<TSchema> {
  const { schema, file, env } = options;
  const fromFile = file === undefined ? { ok: true as const, value: {} } : readSections(file);
  if (!fromFile.ok) return fromFile;
  const merged = applyEnvironment(schema, fromFile.value, env);
  if (!merged.ok) return merged;
  const coerced = coerceSections(schema, merged.value);
  const checked = schema.safeParse(coerced);
  if (!checked.success) return { ok: false, message: describeIssue(checked.error, file) };
  return { ok: true, settings: camelSections(checked.data) as Settings<TSchema> };
}

function readSections(file: string): Outcome<RawSettings> {
  const text = readText(file);
  if (!text.ok) return text;
  const sections: RawSettings = {};
  for (const [name, value] of Object.entries(parse(text.value))) {
    if (!isSection(value)) {
      return { ok: false, message: `${file}: key ${name} stands outside of any section` };
    }
    sections[name] = { ...value };
  }
  return { ok: true, value: sections };
}

function readText(file: string): Outcome<string> {
  try {
    // eslint-disable-next-line n/no-sync -- read once, before anything else runs
    return { ok: true, value: readFileSync(file, 'utf8') };
  } catch (err) {
    const code = (err as NodeJS.ErrnoException).code ?? String(err);
    return { ok: false, message: `${file}: settings file can't be read (${code})` };
  }
}

function isSection(value: unknown): value is RawSection {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** A variable of a section that the schema lacks belongs to another binary; an unknown key of a known section is an error. */
function applyEnvironment(
  schema: SettingsSchema,
  sections: RawSettings,
  env: Record<string, string | undefined>,
): Outcome<RawSettings> {
  const fields = new Map(listFields(schema).map((field) => [field.variable, field]));
  const merged: RawSettings = { ...sections };
  for (const [name, value] of Object.entries(env)) {
    const field = fields.get(name);
    if (field !== undefined && value !== undefined) {
      merged[field.section] = { ...merged[field.section], [field.key]: value };
    } else if (field === undefined) {
      const section = sectionOfVariable(schema, name);
      if (section !== undefined) return { ok: false, message: unknownVariable(name, section) };
    }
  }
  return { ok: true, value: merged };
}

function sectionOfVariable(schema: SettingsSchema, name: string): string | undefined {
  return Object.keys(schema.shape).find((section) =>
    name.startsWith(`${ENVIRONMENT_PREFIX}${section.toUpperCase()}_`),
  );
}

function unknownVariable(name: string, section: string): string {
  const key = name.slice(`${ENVIRONMENT_PREFIX}${section}_`.length).toLowerCase();
  return `environment variable ${name}: [${section}] ${key}: unknown key`;
}

/** Adds absent required sections as empty ones, so that a missing key is named rather than its section. */
function coerceSections(schema: SettingsSchema, sections: RawSettings): RawSettings {
  const coerced: RawSettings = { ...sections };
  const fields = listFields(schema);
  for (const [name, section] of Object.entries(schema.shape)) {
    if (sections[name] !== undefined || !section.safeParse(undefined).success) {
      const own = fields.filter((field) => field.section === name);
      coerced[name] = coerceSection(own, sections[name] ?? {});
    }
  }
  return coerced;
}

function coerceSection(fields: FieldDescription[], section: RawSection): RawSection {
  const kinds = new Map(fields.map((field) => [field.key, field.kind]));
  return Object.fromEntries(
    Object.entries(section).map(([key, value]) => [key, coerceValue(kinds.get(key), value)]),
  );
}

/** The INI reader turns `true`, `false` and `null` into values of their own; as text they are what the file says. */
function coerceValue(kind: FieldKind | undefined, value: unknown): unknown {
  if (kind === undefined || (typeof value === 'object' && value !== null)) return value;
  return COERCIONS[kind](String(value).trim());
}

function describeIssue(error: z.ZodError, file: string | undefined): string {
  const issue = error.issues[0]!;
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
  const missing = issue.code === 'invalid_type' && issue.message.endsWith('received undefined');
  return missing ? 'missing key' : issue.message;
}

function camelName(name: string): string {
  return name.replace(/_([a-z0-9])/g, (_match, letter: string) => letter.toUpperCase());
}

function camelKeys(section: Record<string, unknown>): Record<string, unknown> {
  return Object.fromEntries(Object.entries(section).map(([key, value]) => [camelName(key), value]));
}

function camelSections(settings: Record<string, unknown>): Record<string, unknown> {
  return Object.fromEntries(
    Object.entries(settings).map(([name, section]) => [
      camelName(name),
      isSection(section) ? camelKeys(section) : section,
    ]),
  );
}
