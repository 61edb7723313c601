/** Loading of the settings: at the start, on SIGHUP, and when the file's modification time changes. */
import { statSync } from 'node:fs';
import { loadSettings } from '@kingcupsill/runtime';
import type { Logger } from '@kingcupsill/runtime';
import { edgeSchema } from './settings.js';
import type { EdgeSettings } from './settings.js';

/** Source of the current settings. */
export interface SettingsSource {
  current(): EdgeSettings;
  /** Reads the file again. If it is invalid, the current settings stay in force. */
  reload(logger: Logger): void;
  /** Reads the file again if its modification time has changed. */
  reloadIfChanged(logger: Logger): void;
}

/** Settings source, or the error of the first load. */
export type OpenSettingsResult =
  { ok: true; source: SettingsSource } | { ok: false; message: string };

function modificationTimeMs(file: string | undefined): number {
  if (file === undefined) return 0;
  // eslint-disable-next-line n/no-sync -- takes microseconds and runs every few seconds
  return statSync(file, { throwIfNoEntry: false })?.mtimeMs ?? 0;
}

/** Loads the settings from the file and the environment. */
export function openSettings(
  file: string | undefined,
  env: Record<string, string | undefined>,
): OpenSettingsResult {
  const loadFile = () => loadSettings({ schema: edgeSchema, file, env });
  let loadedModificationMs = modificationTimeMs(file);
  const initial = loadFile();
  if (!initial.ok) return initial;
  let { settings } = initial;

  function reload(logger: Logger): void {
    loadedModificationMs = modificationTimeMs(file);
    const loaded = loadFile();
    if (loaded.ok) settings = loaded.settings;
    if (loaded.ok) logger.info('settings-reloaded');
    else logger.error('settings-unreadable', { message: loaded.message });
  }

  const source: SettingsSource = {
    current: () => settings,
    reload,
    reloadIfChanged(logger) {
      if (modificationTimeMs(file) !== loadedModificationMs) reload(logger);
    },
  };
  return { ok: true, source };
}
