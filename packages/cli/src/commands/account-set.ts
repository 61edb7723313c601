/** Changes the share, services or queue limit of a client account. */
import { Args, Flags } from '@oclif/core';

import { changeFlags, FleetCommand, toChangeOptions } from '../fleet-command.js';
import { setAccount } from '../operations/accounts.js';

export class AccountSet extends FleetCommand {
  static override summary = 'Changes the share, services or queue limit of a client account.';

  static override args = {
    account: Args.string({ description: 'id of the client account', required: true }),
  };

  static override flags = {
    ...changeFlags,
    share: Flags.string({ description: 'fair-share weight in each pool, above 0' }),
    service: Flags.string({
      description: 'service that the account may use; replaces the whole list',
      multiple: true,
    }),
    'max-queued': Flags.integer({
      description: 'maximum number of queued requests per router and pool',
      min: 1,
    }),
  };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(AccountSet);
    const { share, service: services, 'max-queued': maxQueued } = flags;
    const options = {
      ...toChangeOptions(flags),
      account: args.account,
      fields: { share: share === undefined ? undefined : Number(share), services, maxQueued },
    };
    this.printOutcome(flags, await setAccount(this.createFleetContext(flags), options));
  }
}
