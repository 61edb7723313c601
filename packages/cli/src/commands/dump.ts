/** Shows the state of a process. */
import { Args } from '@oclif/core';

import { commonFlags, FleetCommand } from '../fleet-command.js';
import { dumpProcess } from '../operations/dump.js';

export class Dump extends FleetCommand {
  static override summary = 'Shows the state of a process.';

  static override args = {
    address: Args.string({
      description: 'admin address (host:port) of the process',
      required: true,
    }),
  };

  static override flags = { ...commonFlags };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(Dump);
    const token = this.loadAdminSettings(flags).fleet.adminToken;
    this.printOutcome(flags, await dumpProcess({ address: args.address, token }));
  }
}
