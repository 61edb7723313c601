/** Checks a configuration document in a file. */
import { Args } from '@oclif/core';

import { commonFlags, FleetCommand } from '../fleet-command.js';
import { checkConfig } from '../operations/check.js';
import { ExitCode } from '../outcome.js';
import { readJson } from '../read-json.js';

export class Check extends FleetCommand {
  static override summary = 'Checks a configuration document in a file.';

  static override args = {
    file: Args.string({ description: 'document, - for standard input', required: true }),
  };

  static override flags = { ...commonFlags };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(Check);
    const read = await readJson(args.file);
    if (!read.ok) this.error(read.message, { exit: ExitCode.Usage });
    this.finish(flags, checkConfig(read.value));
  }
}
