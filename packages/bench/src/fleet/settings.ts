/** Settings of processes as INI text. */
import type { Settings } from './types.js';

/** INI text that carries all the settings given. */
export function formatIni(settings: Settings): string {
  const sections = Object.entries(settings).map(([section, keys]) => {
    const lines = Object.entries(keys).map(([key, value]) => `${key} = ${value}\n`);
    return `[${section}]\n${lines.join('')}`;
  });
  return sections.join('\n');
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
