/** Types of settings: the schema of an INI file and what it is read into. */
import type { z } from 'zod';

/** One section: a strict object of string, number, boolean or enum fields. */
export type SectionSchema = z.ZodObject;

/** All sections of a binary's settings. */
export type SettingsSchema = z.ZodObject<Record<string, SectionSchema>>;

/** `tls_key_file` becomes `tlsKeyFile`. */
export type CamelCase<TName extends string> = TName extends `${infer Head}_${infer Tail}`
  ? `${Head}${Capitalize<CamelCase<Tail>>}`
  : TName;

/** An object type with its keys in camel case. */
export type CamelCaseKeys<TObject> = {
  [Key in keyof TObject as CamelCase<Key & string>]: TObject[Key];
};

/** Settings as the process reads them: sections and keys in camel case. */
export type Settings<TSchema extends SettingsSchema> = CamelCaseKeys<{
  [Section in keyof z.infer<TSchema>]: CamelCaseKeys<z.infer<TSchema>[Section]>;
}>;

/** Where settings come from. */
export interface LoadSettingsOptions<TSchema extends SettingsSchema> {
  schema: TSchema;
  /** Path of the INI file. @default none, only the environment counts */
  file?: string;
  /** Environment whose `KINGCUPSILL_{SECTION}_{KEY}` variables override the file. */
  env: Record<string, string | undefined>;
}

/** Outcome of reading settings; `message` is one line that names section and key. */
export type LoadedSettings<TSchema extends SettingsSchema> =
  { ok: true; settings: Settings<TSchema> } | { ok: false; message: string };

/** Type of a field, as far as reading it from text needs. */
export type FieldKind = 'string' | 'number' | 'boolean';

/** What a schema says about one key. */
export interface FieldDescription {
  section: string;
  key: string;
  kind: FieldKind;
  /** Allowed values of an enum. */
  choices: string[];
  required: boolean;
  /** Default as text; undefined without one. */
  defaultValue: string | undefined;
  /** The schema's own description. */
  description: string;
  /** Environment variable that overrides the key. */
  variable: string;
}
