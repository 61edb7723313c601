/** Shows which processes have which version in force, and who is behind. */
import { Flags } from '@oclif/core';

import { createInstanceClient } from '@kingcupsill/platform';

import { commonFlags, FleetCommand } from '../fleet-command.js';
import { showStatus } from '../operations/status.js';

export class Status extends FleetCommand {
  static override summary = 'Shows which processes have which version in force, and who is behind.';

  static override flags = {
    ...commonFlags,
    admin: Flags.string({ description: 'admin address host:port', multiple: true }),
    'require-current': Flags.boolean({ description: 'exit code 1 unless all are current' }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(Status);
    const { platform, fleet } = this.loadPlatformSettings(flags);
    const configured = fleet.admin.split(',').filter((address) => address !== '');
    const sources = {
      store: this.createFleetContext(flags).store,
      instances: createInstanceClient({ url: platform.url }),
    };
    const outcome = await showStatus(sources, {
      addresses: flags.admin ?? configured,
      adminPort: fleet.adminPort,
      token: fleet.adminToken,
      requireCurrent: flags['require-current'],
    });
    this.printOutcome(flags, outcome);
  }
}
