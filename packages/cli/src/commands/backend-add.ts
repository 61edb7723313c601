/** Adds a backend server. */
import { Args, Flags } from '@oclif/core';

import { changeFlags, FleetCommand, toChangeOptions } from '../fleet-command.js';
import { addBackend } from '../operations/backends.js';

export class BackendAdd extends FleetCommand {
  static override summary = 'Adds a backend server.';

  static override args = {
    backend: Args.string({ description: 'id of the backend server', required: true }),
  };

  static override flags = {
    ...changeFlags,
    pool: Flags.string({ description: 'pool of interchangeable servers', required: true }),
    zone: Flags.string({ description: 'availability zone', required: true }),
    region: Flags.string({ description: 'region', required: true }),
    slots: Flags.integer({
      description: 'number of requests that run concurrently',
      min: 1,
      required: true,
    }),
    model: Flags.string({ description: 'model that is kept loaded', multiple: true }),
    'checks-fencing': Flags.boolean({
      description: 'the backend server refuses requests with an outdated fencing number',
    }),
  };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(BackendAdd);
    const { pool, zone, region, slots, model: models } = flags;
    const checksFencing = flags['checks-fencing'] ? true : undefined;
    const options = {
      ...toChangeOptions(flags),
      backend: args.backend,
      server: { pool, zone, region, slots, models, checksFencing },
    };
    this.printOutcome(flags, await addBackend(this.createFleetContext(flags), options));
  }
}
