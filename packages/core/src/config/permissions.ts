/** Who may change which parts of the configuration. */
import type { FleetConfig, Operator } from './types.js';

/** Top-level parts that a patch touches. */
export const getPatchedParts = (patch: unknown): string[] =>
  typeof patch === 'object' && patch !== null && !Array.isArray(patch) ? Object.keys(patch) : [];

/** Whether the operator may change every part that the patch touches. */
export const isPatchAllowed = (operator: Operator, patch: unknown): boolean =>
  operator.mayChange.includes('*') ||
  getPatchedParts(patch).every((part) => operator.mayChange.includes(part));

/** Finds the operator that holds the key with this lower-case hex SHA-256 digest. */
export const findOperatorByKeyHash = (config: FleetConfig, keyHash: string): string | undefined =>
  Object.entries(config.operators).find(([, operator]) =>
    operator.keyHashes.includes(keyHash),
  )?.[0];
