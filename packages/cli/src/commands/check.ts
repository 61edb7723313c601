/** Checks a configuration or settings in a file. */
import { Args, Flags } from '@oclif/core';

import { commonFlags, FleetCommand } from '../fleet-command.js';
import { checkConfig, checkEdgeSettings, checkPlatformConfig } from '../operations/check.js';
import { ExitCode, fail } from '../outcome.js';
import type { CommandOutcome } from '../outcome.js';
import { readJson } from '../read-json.js';

async function checkJsonFile(
  file: string,
  check: (candidate: unknown) => CommandOutcome,
): Promise<CommandOutcome> {
  const read = await readJson(file);
  return read.ok ? check(read.value) : fail(ExitCode.Usage, 'unreadable', read.message);
}

/** Checks by kind of file. */
const CHECKERS = {
  configuration: (file: string) => checkJsonFile(file, checkConfig),
  'platform-configuration': (file: string) => checkJsonFile(file, checkPlatformConfig),
  'edge-settings': checkEdgeSettings,
};
const FILE_KINDS = Object.keys(CHECKERS) as (keyof typeof CHECKERS)[];

export class Check extends FleetCommand {
  static override summary = 'Checks a configuration document or settings in a file.';

  static override args = {
    file: Args.string({
      description: 'file to check; - reads a document from standard input',
      required: true,
    }),
  };

  static override flags = {
    ...commonFlags,
    as: Flags.option({
      options: FILE_KINDS,
      default: 'configuration' as const,
      description: 'kind of file',
    })(),
  };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(Check);
    this.printOutcome(flags, await CHECKERS[flags.as](args.file));
  }
}
