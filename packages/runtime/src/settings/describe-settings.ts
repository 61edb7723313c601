/** Settings reference generated from a schema, for `--help` and the documentation. */
import { listFields } from './fields.js';
import type { FieldDescription, SettingsSchema } from './types.js';

function describeType(field: FieldDescription): string {
  return field.choices.length > 0 ? field.choices.join(' | ') : field.kind;
}

function describePresence(field: FieldDescription): string {
  if (field.defaultValue !== undefined) return `default ${field.defaultValue}`;
  return field.required ? 'required' : 'optional';
}

function describeField(field: FieldDescription): string {
  const declaration = `${field.key} = ${describeType(field)} (${describePresence(field)})`;
  return field.description === '' ? declaration : `${declaration}: ${field.description}`;
}

/** Formats the settings of a schema, with one heading per section and one line per key. */
export function describeSettings(schema: SettingsSchema): string {
  const fields = listFields(schema);
  const sections = Object.keys(schema.shape).map((section) => {
    const lines = fields.filter((field) => field.section === section).map(describeField);
    return [`[${section}]`, ...lines.map((line) => `  ${line}`)].join('\n');
  });
  return sections.join('\n\n');
}
