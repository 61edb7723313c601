/** Prints each version as it is accepted. */
import { Flags } from '@oclif/core';

import { commonFlags, FleetCommand } from '../fleet-command.js';
import { watchConfig } from '../operations/config.js';
import { formatHistoryEntry } from '../operations/format.js';

export class ConfigWatch extends FleetCommand {
  static override summary = 'Prints each version as it is accepted.';

  static override flags = {
    ...commonFlags,
    count: Flags.integer({ description: 'exit after this number of versions', min: 1 }),
    'idle-seconds': Flags.integer({
      description: 'exit if no version was accepted for this number of seconds',
      min: 1,
      max: 3600,
      default: 600,
    }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(ConfigWatch);
    const { json, count, 'idle-seconds': idleSeconds } = flags;
    const outcome = await watchConfig(this.createFleetContext(flags), {
      count: count ?? Infinity,
      timeoutMs: idleSeconds * 1000,
      report: (entry) => this.log(json ? JSON.stringify(entry) : formatHistoryEntry(entry)),
    });
    this.printOutcome(flags, outcome);
  }
}
