/** Dependencies and options of operations on the configuration. */
import type { ConfigStore } from '@kingcupsill/platform';

export interface FleetContext {
  store: ConfigStore;
  /** Secret key of the operator; optional while the configuration has no operators. */
  operatorKey?: string;
  /** Creates the id of a patch. */
  createPatchId: () => string;
  /** Creates the secret key of a client account. */
  createAccountKey: () => string;
}

/** Options common to all changes. */
export interface ChangeOptions {
  /** Reason for the change, recorded in the history. */
  reason: string;
  /** Version that the change is based on. @default the newest */
  baseVersion?: number;
  /** Id of the patch; a patch id is applied at most once. @default a new one */
  patchId?: string;
}
