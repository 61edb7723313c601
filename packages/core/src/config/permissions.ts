/** Who may change which parts of the configuration. */
import type { FleetConfig, Operator } from './types.js';

/** Top-level parts that a patch touches. */
export const partsOfPatch = (patch: unknown): string[] =>
  typeof patch === 'object' && patch !== null && !Array.isArray(patch) ? Object.keys(patch) : [];

/** Whether the operator may change every part that the patch touches. */
export const mayChange = (operator: Operator, patch: unknown): boolean =>
  operator.mayChange.includes('*') ||
  partsOfPatch(patch).every((part) => operator.mayChange.includes(part));

/** Finds the operator that holds the key with this lower-case hex SHA-256 digest. */
export const findOperator = (config: FleetConfig, keyHash: string): string | undefined =>
  Object.entries(config.operators).find(([, operator]) =>
    operator.keyHashes.includes(keyHash),
  )?.[0];
