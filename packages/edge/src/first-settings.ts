/** First reading of the settings. The platform may still be writing its file when the process starts. */
import { setTimeout as delay } from 'node:timers/promises';
import { SETTINGS_VARIABLE } from '@kingcupsill/prepared-platform';
import { ExitCode } from '@kingcupsill/runtime';
import type { ReceivedSignals } from '@kingcupsill/runtime';
import { openSettings } from './settings-source.js';
import type { OpenSettingsResult, SettingsSource } from './settings-source.js';

const RETRY_DELAY_MS = 100;
/** Time for which an incomplete file is expected to be completed. */
const COMPLETION_TIMEOUT_MS = 1000;

/** Exits if the process has been asked to end before it has started anything. */
export function exitIfStopped(signals: ReceivedSignals): void {
  if (signals.isPending('SIGTERM') || signals.isPending('SIGINT')) process.exit(ExitCode.Ok);
}

function report(message: string): void {
  process.stderr.write(`kingcupsill-edge: ${message}\n`);
}

/** Reads the platform's file until it can be used. */
async function waitForSettings(
  load: () => OpenSettingsResult,
  signals: ReceivedSignals,
): Promise<SettingsSource> {
  const startedAtMs = performance.now();
  let reported: string | undefined;
  for (;;) {
    const result = load();
    const hasWaited = performance.now() - startedAtMs >= COMPLETION_TIMEOUT_MS;
    if (result.ok && (result.source.isComplete || hasWaited)) return result.source;
    const message = result.ok ? result.source.warnings.join('; ') : result.message;
    if (message !== reported) report(`${message}; reading again every ${RETRY_DELAY_MS} ms`);
    reported = message;
    await delay(RETRY_DELAY_MS);
    exitIfStopped(signals);
  }
}

/** Loads the settings. A file that is named on the command line is read once; if it can't be used, the process exits. */
export async function loadFirstSettings(signals: ReceivedSignals): Promise<SettingsSource> {
  const namedFile = process.argv[2] === '--config' ? process.argv[3] : undefined;
  const platformFile = process.env[SETTINGS_VARIABLE];
  const load = (): OpenSettingsResult => openSettings(namedFile ?? platformFile, process.env);
  if (namedFile === undefined && platformFile !== undefined) return waitForSettings(load, signals);
  const result = load();
  if (result.ok) return result.source;
  report(result.message);
  return process.exit(ExitCode.Usage);
}
