/** Commands by oclif id, in which a colon separates topic and command. */
import { AccountAdd } from './account-add.js';
import { AccountRemove } from './account-remove.js';
import { AccountRotateKey } from './account-rotate-key.js';
import { AccountSet } from './account-set.js';
import { BackendAdd } from './backend-add.js';
import { BackendDrain } from './backend-drain.js';
import { BackendRemove } from './backend-remove.js';
import { Check } from './check.js';
import { ConfigDiff } from './config-diff.js';
import { ConfigGet } from './config-get.js';
import { ConfigHistory } from './config-history.js';
import { ConfigPatch } from './config-patch.js';
import { ConfigRollback } from './config-rollback.js';
import { ConfigWatch } from './config-watch.js';
import { Dump } from './dump.js';
import { Status } from './status.js';

export const COMMANDS = {
  'account:add': AccountAdd,
  'account:remove': AccountRemove,
  'account:rotate-key': AccountRotateKey,
  'account:set': AccountSet,
  'backend:add': BackendAdd,
  'backend:drain': BackendDrain,
  'backend:remove': BackendRemove,
  check: Check,
  'config:diff': ConfigDiff,
  'config:get': ConfigGet,
  'config:history': ConfigHistory,
  'config:patch': ConfigPatch,
  'config:rollback': ConfigRollback,
  'config:watch': ConfigWatch,
  dump: Dump,
  status: Status,
};
