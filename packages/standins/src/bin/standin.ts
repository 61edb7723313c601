#!/usr/bin/env node
/** Runs one emulated outside system as a process. */
import { parseArgs } from 'node:util';
import { createAppStandin, createEngineStandin, createPlatformStandin } from '../index.js';
import { loadStandinSettings } from './settings.js';
import type { StandinSettings } from './settings.js';

const BAD_USAGE_EXIT_CODE = 2;
const VERSION = '0.1.0';
const HELP = `Usage: kingcupsill-standin --config FILE.ini

Runs an emulated platform service, model engine or application backend server.

  --config FILE.ini  settings; each key can be overridden by KINGCUPSILL_{SECTION}_{KEY}
  --help             shows this text
  --version          shows the version
`;

/** Keys as the factories name them, from keys as INI files do. */
const camelCase = (section: Record<string, unknown>): Record<string, unknown> =>
  Object.fromEntries(
    Object.entries(section).map(([key, value]) => [
      key.replace(/_(.)/g, (_, letter: string) => letter.toUpperCase()),
      value,
    ]),
  );

const starters = {
  platform: createPlatformStandin,
  engine: createEngineStandin,
  app: createAppStandin,
} as const;

const start = (settings: StandinSettings) => {
  const { kind, ...common } = settings.standin;
  return starters[kind]({ ...common, ...camelCase(settings[kind]) });
};

const fail = (message: string): void => {
  process.stderr.write(`${message}\n`);
  process.exitCode = BAD_USAGE_EXIT_CODE;
};

const run = async (configPath: string): Promise<void> => {
  const loaded = await loadStandinSettings(configPath, process.env);
  if (!loaded.ok) {
    fail(loaded.message);
    return;
  }
  const { kind } = loaded.settings.standin;
  const standin = await start(loaded.settings);
  const stop = () => {
    void standin.close();
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
  const { port, url } = standin;
  process.stdout.write(`${JSON.stringify({ event: 'listening', kind, port, url })}\n`);
};

const parseCommand = () => {
  try {
    return parseArgs({
      options: {
        config: { type: 'string' },
        help: { type: 'boolean' },
        version: { type: 'boolean' },
      },
    }).values;
  } catch (err) {
    fail((err as Error).message);
    return undefined;
  }
};

const main = async (): Promise<void> => {
  const command = parseCommand();
  if (command === undefined) return;
  if (command.help) process.stdout.write(HELP);
  else if (command.version) process.stdout.write(`${VERSION}\n`);
  else if (command.config === undefined) fail('--config FILE.ini is missing');
  else await run(command.config);
};

await main();
