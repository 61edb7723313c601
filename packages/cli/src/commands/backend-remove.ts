/** Removes a backend server. */
import { Args } from '@oclif/core';

import { changeFlags, FleetCommand, toChangeOptions } from '../fleet-command.js';
import { removeBackend } from '../operations/backends.js';

export class BackendRemove extends FleetCommand {
  static override summary = 'Removes a backend server.';

  static override args = {
    backend: Args.string({ description: 'id of the backend server', required: true }),
  };

  static override flags = { ...changeFlags };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(BackendRemove);
    const options = { ...toChangeOptions(flags), backend: args.backend };
    this.printOutcome(flags, await removeBackend(this.createFleetContext(flags), options));
  }
}
