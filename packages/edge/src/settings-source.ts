/** Settings in force: read at the start, again on SIGHUP, and when the file has changed by itself. */
import { statSync } from 'node:fs';
import { loadSettings } from '@kingcupsill/runtime';
import type { Logger } from '@kingcupsill/runtime';
import { edgeSchema } from './settings.js';
import type { EdgeSettings } from './settings.js';

/** Where settings come from. */
export interface SettingsSource {
  current(): EdgeSettings;
  /** Reads the file again; a file that can't be read leaves the settings as they are. */
  reload(logger: Logger): void;
  /** Reads the file again if its time of change is another. */
  reloadIfChanged(logger: Logger): void;
}

/** Outcome of the first reading. */
export type OpenSettingsResult =
  { ok: true; source: SettingsSource } | { ok: false; message: string };

function changedAt(file: string | undefined): number {
  if (file === undefined) return 0;
  // eslint-disable-next-line n/no-sync -- a call of microseconds, every few seconds
  return statSync(file, { throwIfNoEntry: false })?.mtimeMs ?? 0;
}

/** Reads the settings for the first time. */
export function openSettings(
  file: string | undefined,
  env: Record<string, string | undefined>,
): OpenSettingsResult {
  const load = () => loadSettings({ schema: edgeSchema, file, env });
  let readAt = changedAt(file);
  const first = load();
  if (!first.ok) return first;
  let { settings } = first;

  function reload(logger: Logger): void {
    readAt = changedAt(file);
    const loaded = load();
    if (loaded.ok) settings = loaded.settings;
    if (loaded.ok) logger.info('settings-reloaded');
    else logger.error('settings-unreadable', { message: loaded.message });
  }

  const source: SettingsSource = {
    current: () => settings,
    reload,
    reloadIfChanged(logger) {
      if (changedAt(file) !== readAt) reload(logger);
    },
  };
  return { ok: true, source };
}
