/** Lists the latest accepted patches with time, author and reason. */
import { Flags } from '@oclif/core';

import { commonFlags, FleetCommand } from '../fleet-command.js';
import { showHistory } from '../operations/config.js';

export class ConfigHistory extends FleetCommand {
  static override summary = 'Lists the latest accepted patches with time, author and reason.';

  static override flags = {
    ...commonFlags,
    limit: Flags.integer({
      description: 'maximum number of patches',
      min: 1,
      max: 1000,
      default: 20,
    }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(ConfigHistory);
    const { limit } = flags;
    this.printOutcome(flags, await showHistory(this.createFleetContext(flags), { limit }));
  }
}
