/** Checks a configuration or settings in a file. */
import { Args, Flags } from '@oclif/core';

import { commonFlags, FleetCommand } from '../fleet-command.js';
import { checkConfig, checkEdgeSettings, checkPlatformConfig } from '../operations/check.js';
import { ExitCode, fail } from '../outcome.js';
import type { CommandOutcome } from '../outcome.js';
import { readJson } from '../read-json.js';

async function checkDocument(
  file: string,
  check: (candidate: unknown) => CommandOutcome,
): Promise<CommandOutcome> {
  const read = await readJson(file);
  return read.ok ? check(read.value) : fail(ExitCode.Usage, 'unreadable', read.message);
}

/** What a file may hold. */
const CHECKS = {
  configuration: (file: string) => checkDocument(file, checkConfig),
  'platform-configuration': (file: string) => checkDocument(file, checkPlatformConfig),
  'edge-settings': checkEdgeSettings,
};
const KINDS = Object.keys(CHECKS) as (keyof typeof CHECKS)[];

export class Check extends FleetCommand {
  static override summary = 'Checks a configuration document or settings in a file.';

  static override args = {
    file: Args.string({ description: 'file; of documents, - for standard input', required: true }),
  };

  static override flags = {
    ...commonFlags,
    as: Flags.option({
      options: KINDS,
      default: 'configuration' as const,
      description: 'what the file holds',
    })(),
  };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(Check);
    this.printOutcome(flags, await CHECKS[flags.as](args.file));
  }
}
