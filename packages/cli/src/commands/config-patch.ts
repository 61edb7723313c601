/** Applies a JSON merge patch to the version it is based on. */
import { Args, Flags } from '@oclif/core';

import { changeFlags, FleetCommand, toChangeOptions } from '../fleet-command.js';
import { patchConfig } from '../operations/config.js';
import { ExitCode } from '../outcome.js';
import { readJson } from '../read-json.js';

export class ConfigPatch extends FleetCommand {
  static override summary = 'Applies a JSON merge patch to the version it is based on.';

  static override args = {
    file: Args.string({
      description: 'file with the patch; - reads standard input',
      required: true,
    }),
  };

  static override flags = {
    ...changeFlags,
    'base-version': Flags.integer({
      description: 'version that the patch is based on',
      min: 0,
      required: true,
    }),
    'dry-run': Flags.boolean({ description: 'show the changes without applying them' }),
  };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(ConfigPatch);
    const read = await readJson(args.file);
    if (!read.ok) this.error(read.message, { exit: ExitCode.Usage });
    const options = {
      ...toChangeOptions(flags),
      baseVersion: flags['base-version'],
      patch: read.value,
      dryRun: flags['dry-run'],
    };
    this.printOutcome(flags, await patchConfig(this.createFleetContext(flags), options));
  }
}
