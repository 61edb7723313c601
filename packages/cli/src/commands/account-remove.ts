/** Removes a client account. */
import { Args } from '@oclif/core';

import { changeFlags, FleetCommand, toChangeOptions } from '../fleet-command.js';
import { removeAccount } from '../operations/accounts.js';

export class AccountRemove extends FleetCommand {
  static override summary = 'Removes a client account.';

  static override args = {
    account: Args.string({ description: 'id of the client account', required: true }),
  };

  static override flags = { ...changeFlags };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(AccountRemove);
    const options = { ...toChangeOptions(flags), account: args.account };
    this.printOutcome(flags, await removeAccount(this.createFleetContext(flags), options));
  }
}
