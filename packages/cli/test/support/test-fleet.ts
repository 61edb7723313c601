/** Object service with an initial configuration, for tests. */
import assert from 'node:assert/strict';

import { createConfigStore, createObjectClient, digestKey } from '@kingcupsill/platform';

// The fake object service is test code of the platform package, which therefore doesn't export it.
// eslint-disable-next-line import-x/no-relative-packages
import { startFakeObjectService } from '../../../platform/test/support/fake-object-service.js';
import type { FleetContext } from '../../src/index.js';

/** Content of version 1 of the configuration. */
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
  let lastId = 0;
  const createContext = (operatorKey?: string): FleetContext => ({
    store: createConfigStore({ objects: createObjectClient({ url: service.url }) }),
    operatorKey,
    createPatchId: () => {
      lastId += 1;
      return `patch-${lastId}`;
    },
    createAccountKey: () => {
      lastId += 1;
      return `kc-${lastId}`;
    },
  });
  const request = { id: 'first', baseVersion: 0, patch: initialConfig, reason: 'first' };
  assert.ok((await createContext().store.commit(request)).ok);
  return { service, createContext };
};

export type TestFleet = Awaited<ReturnType<typeof startTestFleet>>;
