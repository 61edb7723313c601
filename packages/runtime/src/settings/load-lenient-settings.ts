/** Loading of settings that another program renders: what isn't needed is passed over, and missing values get fallbacks. */
import { getOwn, setOwn } from '@kingcupsill/core/collections';
import type { z } from 'zod';
import { listFields } from './fields.js';
import {
  applyEnvironment,
  camelCaseSections,
  coerceSections,
  describeIssue,
  readSections,
} from './load-settings.js';
import type { RawSettings } from './load-settings.js';
import type { LoadedSettings, LoadSettingsOptions, Settings, SettingsSchema } from './types.js';

/** Values of required keys for which a process can do without the file's value, by section and key. */
export type SettingsFallbacks = Record<string, Record<string, string | number>>;

/** Options of `loadLenientSettings`. */
export interface LenientSettingsOptions<
  TSchema extends SettingsSchema,
> extends LoadSettingsOptions<TSchema> {
  fallbacks: SettingsFallbacks;
}

/** Loaded settings; `warnings` has one line for each thing passed over, `replaced` the keys with a fallback or default. */
export type LenientSettings<TSchema extends SettingsSchema> =
  | (Extract<LoadedSettings<TSchema>, { ok: true }> & { warnings: string[]; replaced: string[] })
  | { ok: false; message: string };

/** Findings of the validation that prevent the use of a file. */
interface Repair {
  warnings: string[];
  replaced: string[];
}

function removeUnknown(sections: RawSettings, issue: z.core.$ZodIssueUnrecognizedKeys): void {
  const [section] = issue.path.map(String);
  const target: Record<string, unknown> =
    section === undefined ? sections : (getOwn(sections, section) ?? {});
  issue.keys.forEach((key) => {
    Reflect.deleteProperty(target, key);
  });
}

/** Replaces the value that an issue is about. Returns whether it could. */
function replaceValue<TSchema extends SettingsSchema>(
  { schema, fallbacks }: LenientSettingsOptions<TSchema>,
  sections: RawSettings,
  issue: z.core.$ZodIssue,
  repair: Repair,
): boolean {
  const [section = '', key = ''] = issue.path.map(String);
  const field = listFields(schema).find((entry) => entry.section === section && entry.key === key);
  const fallback = getOwn(getOwn(fallbacks, section) ?? {}, key);
  const name = `${section}.${key}`;
  if (field === undefined || repair.replaced.includes(name)) return false;
  if (field.required && fallback === undefined) return false;
  setOwn(sections, section, { ...getOwn(sections, section), [key]: fallback });
  repair.replaced.push(name);
  return true;
}

/** Loads settings; fails only if the file can't be read or if a key without a fallback or default is missing or invalid. */
export function loadLenientSettings<TSchema extends SettingsSchema>(
  options: LenientSettingsOptions<TSchema>,
): LenientSettings<TSchema> {
  const { schema, file, env } = options;
  const repair: Repair = { warnings: [], replaced: [] };
  const warn = (message: string): void => {
    repair.warnings.push(message);
  };
  const read = file === undefined ? { ok: true as const, value: {} } : readSections(file, warn);
  if (!read.ok) return read;
  const merged = applyEnvironment(schema, read.value, env, warn);
  if (!merged.ok) return merged;
  const sections = coerceSections(schema, merged.value);
  for (;;) {
    const parsed = schema.safeParse(sections);
    if (parsed.success) {
      const settings = camelCaseSections(parsed.data) as Settings<TSchema>;
      return { ok: true, settings, ...repair };
    }
    const vital = parsed.error.issues.find((issue) => {
      if (issue.code === 'unrecognized_keys') removeUnknown(sections, issue);
      else if (!replaceValue(options, sections, issue, repair)) return true;
      warn(describeIssue(issue, file));
      return false;
    });
    if (vital !== undefined) return { ok: false, message: describeIssue(vital, file) };
  }
}
