/** An object service with a first configuration, for tests. */
import assert from 'node:assert/strict';

import { createConfigStore, createObjectClient, digestKey } from '@kingcupsill/platform';

// The fake is test code of the package that it stands for, and has no place among its exports.
// eslint-disable-next-line import-x/no-relative-packages
import { startFakeObjectService } from '../../../platform/test/support/fake-object-service.js';
import type { FleetContext } from '../../src/index.js';

/** Content of version 1. */
export const initialConfig = {
  services: { batches: { kind: 'plain', pool: 'workshop' } },
  backends: { w1: { pool: 'workshop', zone: 'a', region: 'k', slots: 2 } },
  operators: {
    root: { keyHashes: [digestKey('root-key')], mayChange: ['*'] },
    sales: { keyHashes: [digestKey('sales-key')], mayChange: ['accounts'] },
  },
};

export const startTestFleet = async () => {
  const service = await startFakeObjectService();
  let ids = 0;
  const createContext = (operatorKey?: string): FleetContext => ({
    store: createConfigStore({ objects: createObjectClient({ url: service.url }) }),
    operatorKey,
    createPatchId: () => {
      ids += 1;
      return `patch-${ids}`;
    },
    createAccountKey: () => {
      ids += 1;
      return `kc-${ids}`;
    },
  });
  const request = { id: 'first', baseVersion: 0, patch: initialConfig, reason: 'first' };
  assert.ok((await createContext().store.commit(request)).ok);
  return { service, createContext };
};

export type TestFleet = Awaited<ReturnType<typeof startTestFleet>>;
