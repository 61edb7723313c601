/** Cross-entry checks of the configuration: dangling references and duplicate key hashes. */
import { formatPath } from './path.js';
import type { ConfigProblem, FleetConfig } from './types.js';

/** Errors and warnings found in a document that conforms to the schema. */
export interface CrossReferenceReport {
  problems: ConfigProblem[];
  warnings: ConfigProblem[];
}

type KeyOwners = Record<string, { keyHashes: string[] }>;

const findUnknownServices = (config: FleetConfig): ConfigProblem[] =>
  Object.entries(config.accounts).flatMap(([id, account]) =>
    account.services.flatMap((service, index) =>
      Object.hasOwn(config.services, service)
        ? []
        : [
            {
              path: formatPath(['accounts', id, 'services', index]),
              message: `service "${service}" does not exist`,
            },
          ],
    ),
  );

const findDuplicateKeyHashes = (part: string, owners: KeyOwners): ConfigProblem[] => {
  const problems: ConfigProblem[] = [];
  const ownerByHash = new Map<string, string>();
  Object.entries(owners).forEach(([id, { keyHashes }]) => {
    keyHashes.forEach((hash, index) => {
      const previousOwner = ownerByHash.get(hash);
      ownerByHash.set(hash, id);
      if (previousOwner === undefined) return;
      const path = formatPath([part, id, 'keyHashes', index]);
      problems.push({ path, message: `the same key hash is listed by "${previousOwner}"` });
    });
  });
  return problems;
};

const findUnusedPools = (config: FleetConfig): ConfigProblem[] => {
  const pools = new Set(Object.values(config.services).map((service) => service.pool));
  return Object.entries(config.backends)
    .filter(([, backend]) => !pools.has(backend.pool))
    .map(([id, backend]) => ({
      path: formatPath(['backends', id, 'pool']),
      message: `no service uses pool "${backend.pool}"`,
    }));
};

const findOperatorLockout = (config: FleetConfig): ConfigProblem[] => {
  const operators = Object.values(config.operators);
  const canRecover = operators.some(
    ({ keyHashes, mayChange }) =>
      keyHashes.length > 0 && (mayChange.includes('*') || mayChange.includes('operators')),
  );
  if (operators.length === 0 || canRecover) return [];
  return [{ path: 'operators', message: 'no operator with a key may change operators' }];
};

const findOperatorWarnings = (config: FleetConfig): ConfigProblem[] =>
  Object.keys(config.operators).length > 0
    ? []
    : [
        {
          path: 'operators',
          message:
            'no operator is defined: any client of the object service can change the configuration',
        },
      ];

const findPoolWarnings = (config: FleetConfig): ConfigProblem[] => {
  const existingPools = new Set<string>();
  const activePools = new Set<string>();
  Object.values(config.backends).forEach((backend) => {
    existingPools.add(backend.pool);
    if (backend.draining !== true) activePools.add(backend.pool);
  });
  return Object.entries(config.services)
    .filter(([, service]) => !activePools.has(service.pool))
    .map(([id, { pool }]) => ({
      path: formatPath(['services', id, 'pool']),
      message: existingPools.has(pool)
        ? `every backend server of pool "${pool}" is draining`
        : `pool "${pool}" has no backend server`,
    }));
};

/** Checks references between entries, duplicate key hashes and operator lockout. */
export const checkCrossReferences = (config: FleetConfig): CrossReferenceReport => ({
  problems: [
    ...findUnknownServices(config),
    ...findUnusedPools(config),
    ...findDuplicateKeyHashes('accounts', config.accounts),
    ...findDuplicateKeyHashes('operators', config.operators),
    ...findOperatorLockout(config),
  ],
  warnings: [...findPoolWarnings(config), ...findOperatorWarnings(config)],
});
