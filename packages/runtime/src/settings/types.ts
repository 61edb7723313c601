/** Types of settings: the schema of an INI file and the loaded values. */
import type { z } from 'zod';

/** One section: a strict object of string, number, boolean or enum fields. */
export type SectionSchema = z.ZodObject;

/** All sections of a binary's settings. */
export type SettingsSchema = z.ZodObject<Record<string, SectionSchema>>;

/** Converts a snake case name to camel case, such as `tls_key_file` to `tlsKeyFile`. */
export type CamelCase<TName extends string> = TName extends `${infer Head}_${infer Tail}`
  ? `${Head}${Capitalize<CamelCase<Tail>>}`
  : TName;

/** Converts the keys of an object type to camel case. */
export type CamelCaseKeys<TObject> = {
  [Key in keyof TObject as CamelCase<Key & string>]: TObject[Key];
};

/** Loaded settings, with section names and keys in camel case. */
export type Settings<TSchema extends SettingsSchema> = CamelCaseKeys<{
  [Section in keyof z.infer<TSchema>]: CamelCaseKeys<z.infer<TSchema>[Section]>;
}>;

/** Options of `loadSettings`. */
export interface LoadSettingsOptions<TSchema extends SettingsSchema> {
  schema: TSchema;
  /** Path of the INI file. @default none, only the environment is used */
  file?: string;
  /** Environment variables; `KINGCUPSILL_{SECTION}_{KEY}` overrides a key of the file. */
  env: Record<string, string | undefined>;
}

/** Loaded settings, or a one-line error message that names the section and key. */
export type LoadedSettings<TSchema extends SettingsSchema> =
  { ok: true; settings: Settings<TSchema> } | { ok: false; message: string };

/** Type that a field's text is converted to. */
export type FieldKind = 'string' | 'number' | 'boolean';

/** Description of one settings key. */
export interface FieldDescription {
  section: string;
  key: string;
  kind: FieldKind;
  /** Allowed values of an enum; empty for other types. */
  choices: string[];
  required: boolean;
  /** Default value as text; undefined if there is none. */
  defaultValue: string | undefined;
  /** Description in the schema; empty if there is none. */
  description: string;
  /** Environment variable that overrides the key. */
  variable: string;
}
