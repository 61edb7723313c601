/** Drains a backend server: it finishes running requests and accepts no new ones. */
import { Args, Flags } from '@oclif/core';

import { changeFlags, FleetCommand, toChangeOptions } from '../fleet-command.js';
import { drainBackend } from '../operations/backends.js';

export class BackendDrain extends FleetCommand {
  static override summary =
    'Drains a backend server: it finishes running requests and accepts no new ones.';

  static override args = {
    backend: Args.string({ description: 'id of the backend server', required: true }),
  };

  static override flags = {
    ...changeFlags,
    undo: Flags.boolean({ description: 'end the draining, so that it accepts requests again' }),
  };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(BackendDrain);
    const options = {
      ...toChangeOptions(flags),
      backend: args.backend,
      undo: flags.undo,
    };
    this.printOutcome(flags, await drainBackend(this.createFleetContext(flags), options));
  }
}
