import { EMPTY_CONFIG } from '../../src/index.js';
import type { FleetConfig } from '../../src/index.js';

/** Returns a digest of 64 times the given hex digit. */
export const digest = (digit: string): string => digit.repeat(64);

/** Creates a configuration with two accounts, one model service, one plain service and three backend servers. */
export const createFleetConfig = (): FleetConfig => ({
  ...structuredClone(EMPTY_CONFIG),
  version: 7,
  accounts: {
    opticians: { share: 2, services: ['review-model', 'batches'], keyHashes: [digest('a')] },
    schools: { share: 1, services: ['batches'], keyHashes: [digest('b')] },
  },
  services: {
    'review-model': { kind: 'model', pool: 'engines' },
    batches: { kind: 'plain', pool: 'workshop' },
  },
  backends: {
    'engine-1': { pool: 'engines', zone: 'kingston-a', region: 'kingston', slots: 8 },
    'engine-2': { pool: 'engines', zone: 'montego-a', region: 'montego', slots: 8 },
    'workshop-1': { pool: 'workshop', zone: 'kingston-a', region: 'kingston', slots: 2 },
  },
  operators: {
    root: { keyHashes: [digest('c')], mayChange: ['*'] },
    sales: { keyHashes: [digest('d')], mayChange: ['accounts'] },
  },
});
