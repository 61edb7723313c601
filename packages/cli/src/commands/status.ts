/** Shows the version in force on each process, and which processes are behind. */
import { Flags } from '@oclif/core';

import { createInstanceClient } from '@kingcupsill/platform';

import { commonFlags, FleetCommand } from '../fleet-command.js';
import { showStatus } from '../operations/status.js';

export class Status extends FleetCommand {
  static override summary =
    'Shows the version in force on each process, and which processes are behind.';

  static override flags = {
    ...commonFlags,
    admin: Flags.string({ description: 'admin address (host:port) of a process', multiple: true }),
    'require-current': Flags.boolean({
      description: 'exit with code 1 unless all processes have the newest version',
    }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(Status);
    const { platform, fleet } = this.loadPlatformSettings(flags);
    const configuredAddresses = fleet.admin.split(',').filter((address) => address !== '');
    const clients = {
      store: this.createFleetContext(flags).store,
      instances: createInstanceClient({ url: platform.url }),
    };
    const outcome = await showStatus(clients, {
      addresses: flags.admin ?? configuredAddresses,
      adminPort: fleet.adminPort,
      token: fleet.adminToken,
      requireCurrent: flags['require-current'],
    });
    this.printOutcome(flags, outcome);
  }
}
