/** Common flags, settings and output of all commands. */
import { randomBytes, randomUUID } from 'node:crypto';

import { createConfigStore, createObjectClient } from '@kingcupsill/platform';
import { Command, Flags } from '@oclif/core';

import type { ChangeOptions, FleetContext } from './operations/types.js';
import type { CommandOutcome } from './outcome.js';
import { ExitCode } from './outcome.js';
import { adminSettingsSchema, loadSettings, platformSettingsSchema } from './settings.js';

const ACCOUNT_KEY_BYTES = 24;

/** Flags of every command. */
export const commonFlags = {
  json: Flags.boolean({ description: 'print one JSON object' }),
  config: Flags.string({ description: 'settings file (INI)', helpValue: 'FILE' }),
};

/** Flags of commands that change the configuration. */
export const changeFlags = {
  ...commonFlags,
  reason: Flags.string({
    description: 'reason for the change, recorded in the history',
    required: true,
  }),
  'base-version': Flags.integer({
    description: 'version that the change is based on (default: the newest)',
    min: 0,
  }),
  'patch-id': Flags.string({
    description: 'id of the patch; a repeat with the same id is applied only once',
  }),
};

interface CommonFlags {
  json: boolean;
  config?: string;
}

interface ChangeFlags extends CommonFlags {
  reason: string;
  'base-version'?: number;
  'patch-id'?: string;
}

/** Converts the flags of a change to its options. */
export const toChangeOptions = (flags: ChangeFlags): ChangeOptions => ({
  reason: flags.reason,
  baseVersion: flags['base-version'],
  patchId: flags['patch-id'],
});

/** Base class of all commands; oclif requires commands to be classes. */
export abstract class FleetCommand extends Command {
  /** Loads the settings of a command that calls the platform; invalid settings end the command with exit code 2. */
  protected loadPlatformSettings(flags: CommonFlags) {
    const loaded = loadSettings({
      schema: platformSettingsSchema,
      file: flags.config,
      env: process.env,
    });
    return loaded.ok ? loaded.settings : this.error(loaded.message, { exit: ExitCode.Usage });
  }

  /** Loads the settings of a command that only calls admin servers; invalid settings end the command with exit code 2. */
  protected loadAdminSettings(flags: CommonFlags) {
    const loaded = loadSettings({
      schema: adminSettingsSchema,
      file: flags.config,
      env: process.env,
    });
    return loaded.ok ? loaded.settings : this.error(loaded.message, { exit: ExitCode.Usage });
  }

  /** Creates the dependencies of operations from the settings. */
  protected createFleetContext(flags: CommonFlags): FleetContext {
    const { platform, operator } = this.loadPlatformSettings(flags);
    return {
      store: createConfigStore({ objects: createObjectClient({ url: platform.url }) }),
      operatorKey: operator.key,
      createPatchId: randomUUID,
      createAccountKey: () => `kc-${randomBytes(ACCOUNT_KEY_BYTES).toString('base64url')}`,
    };
  }

  /** Prints the outcome and sets the exit code. */
  protected printOutcome({ json }: CommonFlags, outcome: CommandOutcome): void {
    const { exitCode, data, lines } = outcome;
    const ok = exitCode === ExitCode.Ok;
    if (json) this.log(JSON.stringify({ ok, ...data }));
    else if (ok) lines.forEach((line) => this.log(line));
    else lines.forEach((line) => this.logToStderr(line));
    process.exitCode = exitCode;
  }
}
