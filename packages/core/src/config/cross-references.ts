/** Checks that span entries of the configuration: references that lead nowhere, and keys that two holders share. */
import { formatPath } from './path.js';
import type { ConfigProblem, FleetConfig } from './types.js';

/** Faults and remarks found in a document that fits the schema. */
export interface CrossReferenceReport {
  problems: ConfigProblem[];
  warnings: ConfigProblem[];
}

type KeyHolders = Record<string, { keyHashes: string[] }>;

const unknownServices = (config: FleetConfig): ConfigProblem[] =>
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

const sharedKeys = (part: string, holders: KeyHolders): ConfigProblem[] => {
  const problems: ConfigProblem[] = [];
  const holderOf = new Map<string, string>();
  Object.entries(holders).forEach(([id, { keyHashes }]) => {
    keyHashes.forEach((hash, index) => {
      const other = holderOf.get(hash);
      holderOf.set(hash, id);
      if (other === undefined) return;
      const path = formatPath([part, id, 'keyHashes', index]);
      problems.push({ path, message: `the same key hash is listed by "${other}"` });
    });
  });
  return problems;
};

const poolsWithoutService = (config: FleetConfig): ConfigProblem[] => {
  const pools = new Set(Object.values(config.services).map((service) => service.pool));
  return Object.entries(config.backends)
    .filter(([, backend]) => !pools.has(backend.pool))
    .map(([id, backend]) => ({
      path: formatPath(['backends', id, 'pool']),
      message: `no service uses pool "${backend.pool}"`,
    }));
};

const lockedOut = (config: FleetConfig): ConfigProblem[] => {
  const operators = Object.values(config.operators);
  const mayRecover = operators.some(
    ({ keyHashes, mayChange }) =>
      keyHashes.length > 0 && (mayChange.includes('*') || mayChange.includes('operators')),
  );
  if (operators.length === 0 || mayRecover) return [];
  return [{ path: 'operators', message: 'no operator with a key may change operators' }];
};

const operatorWarnings = (config: FleetConfig): ConfigProblem[] =>
  Object.keys(config.operators).length > 0
    ? []
    : [
        {
          path: 'operators',
          message: 'no operator exists: whoever reaches the object service may change anything',
        },
      ];

const poolWarnings = (config: FleetConfig): ConfigProblem[] => {
  const present = new Set<string>();
  const serving = new Set<string>();
  Object.values(config.backends).forEach((backend) => {
    present.add(backend.pool);
    if (backend.draining !== true) serving.add(backend.pool);
  });
  return Object.entries(config.services)
    .filter(([, service]) => !serving.has(service.pool))
    .map(([id, { pool }]) => ({
      path: formatPath(['services', id, 'pool']),
      message: present.has(pool)
        ? `every backend server of pool "${pool}" is draining`
        : `pool "${pool}" has no backend server`,
    }));
};

/** Checks the references between entries. */
export const checkCrossReferences = (config: FleetConfig): CrossReferenceReport => ({
  problems: [
    ...unknownServices(config),
    ...poolsWithoutService(config),
    ...sharedKeys('accounts', config.accounts),
    ...sharedKeys('operators', config.operators),
    ...lockedOut(config),
  ],
  warnings: [...poolWarnings(config), ...operatorWarnings(config)],
});
