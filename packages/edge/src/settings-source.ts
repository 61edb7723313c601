/** Loading of the settings: at the start, on SIGHUP, and when the file changes. */
import { statSync } from 'node:fs';
import { loadLenientSettings } from '@kingcupsill/runtime';
import type { LenientSettings, Logger } from '@kingcupsill/runtime';
import { EDGE_FALLBACKS, edgeSchema } from './settings.js';
import type { EdgeSettings } from './settings.js';

/** Source of the current settings. */
export interface SettingsSource {
  current(): EdgeSettings;
  /** Reads the file again. If it is invalid, the current settings stay in force. */
  reload(logger: Logger): void;
  /** Reads the file again if it has changed, or if it was invalid. */
  reloadIfChanged(logger: Logger): void;
  /** Lines about unknown keys and missing values at the first load. */
  warnings: readonly string[];
  /** Whether no value was missing or invalid at the first load. */
  isComplete: boolean;
}

/** Settings source, or the error of the first load. */
export type OpenSettingsResult =
  { ok: true; source: SettingsSource } | { ok: false; message: string };

/** Identifies the content of a file. The time alone may stay the same when a file is written in two steps. */
function fingerprint(file: string | undefined): string {
  if (file === undefined) return '';
  try {
    // eslint-disable-next-line n/no-sync -- takes microseconds and runs every few seconds
    const { mtimeMs, size, ino } = statSync(file);
    return [mtimeMs, size, ino].join(' ');
  } catch (err) {
    // The attempt to read the file logs the reason.
    return String((err as NodeJS.ErrnoException).code);
  }
}

/** Loads the settings from the file and the environment. */
export function openSettings(
  file: string | undefined,
  env: Record<string, string | undefined>,
): OpenSettingsResult {
  const loadFile = (): LenientSettings<typeof edgeSchema> =>
    loadLenientSettings({ schema: edgeSchema, file, env, fallbacks: EDGE_FALLBACKS });
  let loadedFingerprint: string | undefined = fingerprint(file);
  const initial = loadFile();
  if (!initial.ok) return initial;
  let { settings } = initial;
  const initialReplaced = new Set(initial.replaced);

  /** A value that the file had at the start is missing now: it is probably being written. */
  function findMissing(replaced: readonly string[], warnings: readonly string[]) {
    const isMissing = replaced.some((key) => !initialReplaced.has(key));
    return isMissing ? warnings.join('; ') : undefined;
  }

  function reload(logger: Logger): void {
    const currentFingerprint = fingerprint(file);
    const loaded = loadFile();
    const message = loaded.ok ? findMissing(loaded.replaced, loaded.warnings) : loaded.message;
    loadedFingerprint = message === undefined ? currentFingerprint : undefined;
    if (!loaded.ok || message !== undefined) {
      logger.error('settings-unreadable', { message });
      return;
    }
    settings = loaded.settings;
    logger.info('settings-reloaded', { warnings: loaded.warnings });
  }

  const source: SettingsSource = {
    current: () => settings,
    reload,
    reloadIfChanged(logger) {
      if (fingerprint(file) !== loadedFingerprint) reload(logger);
    },
    warnings: initial.warnings,
    isComplete: initial.replaced.length === 0,
  };
  return { ok: true, source };
}
