/** Adds a client account and prints its key once. */
import { Args, Flags } from '@oclif/core';

import { changeFlags, FleetCommand, toChangeOptions } from '../fleet-command.js';
import { addAccount } from '../operations/accounts.js';

export class AccountAdd extends FleetCommand {
  static override summary = 'Adds a client account and prints its key once.';

  static override args = {
    account: Args.string({ description: 'id of the client account', required: true }),
  };

  static override flags = {
    ...changeFlags,
    share: Flags.string({ description: 'fair-share weight in each pool, above 0', required: true }),
    service: Flags.string({
      description: 'service that the account may use',
      multiple: true,
      required: true,
    }),
    'max-queued': Flags.integer({
      description: 'maximum number of queued requests per router and pool',
      min: 1,
    }),
  };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(AccountAdd);
    const { share, service: services, 'max-queued': maxQueued } = flags;
    const options = {
      ...toChangeOptions(flags),
      account: args.account,
      fields: { share: Number(share), services, maxQueued },
    };
    this.printOutcome(flags, await addAccount(this.createFleetContext(flags), options));
  }
}
