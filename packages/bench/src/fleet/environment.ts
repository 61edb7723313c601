/** Settings as environment variables. */
import type { Settings } from './types.js';

/** Name of the variable that overrides one setting. */
function variableName(section: string, key: string): string {
  return `KINGCUPSILL_${section}_${key}`.toUpperCase();
}

/** Variables that carry all the settings given. */
export function settingsToEnvironment(settings: Settings): Record<string, string> {
  const entries = Object.entries(settings).flatMap(([section, keys]) =>
    Object.entries(keys).map(([key, value]) => [variableName(section, key), String(value)]),
  );
  return Object.fromEntries(entries) as Record<string, string>;
}

/** Settings of `extra` laid over those of `base`, key by key. */
export function mergeSettings(base: Settings, extra: Settings = {}): Settings {
  const sections = new Set([...Object.keys(base), ...Object.keys(extra)]);
  return Object.fromEntries(
    [...sections].map((section) => [section, { ...base[section], ...extra[section] }]),
  );
}

/** Settings with each known port fixed, as `section.key` names it. */
export function fixPorts(
  settings: Settings,
  portSettings: Record<string, string>,
  ports: Record<string, number>,
): Settings {
  return Object.entries(portSettings).reduce((merged, [field, path]) => {
    const [section, key] = path.split('.') as [string, string];
    const port = ports[field];
    return port === undefined ? merged : mergeSettings(merged, { [section]: { [key]: port } });
  }, settings);
}
