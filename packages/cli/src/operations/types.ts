/** What operations on the configuration work with. */
import type { ConfigStore } from '@kingcupsill/platform';

export interface FleetContext {
  store: ConfigStore;
  /** Key of the operator; not needed while there are no operators. */
  operatorKey?: string;
  /** Creates the id of a patch. */
  createPatchId: () => string;
  /** Creates the secret key of a client account. */
  createAccountKey: () => string;
}

/** Flags that all changes share. */
export interface ChangeOptions {
  /** Why the change is made, for the history. */
  reason: string;
  /** Version that the change is made against. @default the newest */
  baseVersion?: number;
  /** Id of the patch; the same id never takes effect twice. @default a new one */
  patchId?: string;
}
