/** Merges process settings and formats them as INI text. */
import { getOwn } from '@kingcupsill/core/collections';
import type { Settings } from './types.js';

/** Formats settings as INI text. */
export function formatIni(settings: Settings): string {
  const sections = Object.entries(settings).map(([section, keys]) => {
    const lines = Object.entries(keys).map(([key, value]) => `${key} = ${value}\n`);
    return `[${section}]\n${lines.join('')}`;
  });
  return sections.join('\n');
}

/** Merges settings key by key; `overrides` takes precedence over `base`. */
export function mergeSettings(base: Settings, overrides: Settings = {}): Settings {
  const sections = new Set([...Object.keys(base), ...Object.keys(overrides)]);
  return Object.fromEntries(
    [...sections].map((section) => [
      section,
      { ...getOwn(base, section), ...getOwn(overrides, section) },
    ]),
  );
}

/** Sets each known port at its `section.key` path, so that a restarted process keeps its ports. */
export function assignPorts(
  settings: Settings,
  portSettings: Record<string, string>,
  ports: Record<string, number>,
): Settings {
  return Object.entries(portSettings).reduce((merged, [field, path]) => {
    const [section, key] = path.split('.') as [string, string];
    const port = getOwn(ports, field);
    return port === undefined ? merged : mergeSettings(merged, { [section]: { [key]: port } });
  }, settings);
}
