/** Restores the content of an earlier version as a new version. */
import { Args } from '@oclif/core';

import { changeFlags, FleetCommand, toChangeOptions } from '../fleet-command.js';
import { rollBack } from '../operations/config.js';

export class ConfigRollback extends FleetCommand {
  static override summary = 'Restores the content of an earlier version as a new version.';

  static override args = {
    version: Args.integer({ description: 'version to restore', min: 0, required: true }),
  };

  static override flags = { ...changeFlags };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(ConfigRollback);
    const options = { ...toChangeOptions(flags), version: args.version };
    this.printOutcome(flags, await rollBack(this.createFleetContext(flags), options));
  }
}
