/** Permissions of operators to change the configuration. */
import type { FleetConfig, Operator } from './types.js';

/** Returns the names of the top-level parts that a patch changes. */
export const getPatchedParts = (patch: unknown): string[] =>
  typeof patch === 'object' && patch !== null && !Array.isArray(patch) ? Object.keys(patch) : [];

/** Returns whether the operator may change every part that the patch changes. */
export const isPatchAllowed = (operator: Operator, patch: unknown): boolean =>
  operator.mayChange.includes('*') ||
  getPatchedParts(patch).every((part) => operator.mayChange.includes(part));

/** Returns the id of the operator whose key has this lower-case hex SHA-256 digest. */
export const findOperatorByKeyHash = (config: FleetConfig, keyHash: string): string | undefined =>
  Object.entries(config.operators).find(([, operator]) =>
    operator.keyHashes.includes(keyHash),
  )?.[0];
