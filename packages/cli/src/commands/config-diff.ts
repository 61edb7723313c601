/** Shows the differences between two versions. */
import { Args } from '@oclif/core';

import { commonFlags, FleetCommand } from '../fleet-command.js';
import { diffVersions } from '../operations/config.js';

export class ConfigDiff extends FleetCommand {
  static override summary = 'Shows the differences between two versions.';

  static override args = {
    from: Args.integer({ description: 'version', min: 0, required: true }),
    to: Args.integer({ description: 'version (default: the newest)', min: 0 }),
  };

  static override flags = { ...commonFlags };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(ConfigDiff);
    this.printOutcome(flags, await diffVersions(this.createFleetContext(flags), args));
  }
}
