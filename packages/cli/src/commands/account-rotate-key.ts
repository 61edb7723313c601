/** Gives a client account a new key and prints it once. */
import { Args, Flags } from '@oclif/core';

import { changeFlags, FleetCommand, toChangeOptions } from '../fleet-command.js';
import { rotateAccountKey } from '../operations/accounts.js';

export class AccountRotateKey extends FleetCommand {
  static override summary = 'Gives a client account a new key and prints it once.';

  static override args = {
    account: Args.string({ description: 'id of the client account', required: true }),
  };

  static override flags = {
    ...changeFlags,
    'keep-old': Flags.boolean({ description: 'keep the old keys valid until the next rotation' }),
  };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(AccountRotateKey);
    const options = {
      ...toChangeOptions(flags),
      account: args.account,
      keepOld: flags['keep-old'],
    };
    this.printOutcome(flags, await rotateAccountKey(this.createFleetContext(flags), options));
  }
}
