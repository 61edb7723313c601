/** Shows the configuration or one part of it. */
import { Flags } from '@oclif/core';

import { commonFlags, FleetCommand } from '../fleet-command.js';
import { getConfig } from '../operations/config.js';

export class ConfigGet extends FleetCommand {
  static override summary = 'Shows the configuration or one part of it.';

  static override flags = {
    ...commonFlags,
    part: Flags.string({ description: 'part to show: accounts, services, backends or operators' }),
    version: Flags.integer({ description: 'version (default: the newest)', min: 0 }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(ConfigGet);
    const { part, version } = flags;
    this.printOutcome(flags, await getConfig(this.createFleetContext(flags), { part, version }));
  }
}
