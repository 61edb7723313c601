/** Rendezvous (highest random weight) hashing and the fixed buckets of client accounts. */
import type { Hasher } from './types.js';

interface Ranked {
  node: string;
  weight: number;
}

function byWeight(a: Ranked, b: Ranked): number {
  if (a.weight !== b.weight) return b.weight - a.weight;
  return a.node < b.node ? -1 : 1;
}

/** Weight of the node for `key`; the node of highest weight is picked. */
export function rendezvousWeight(hasher: Hasher, key: string, node: string): number {
  return hasher.hash32(`${key}\u0000${node}`);
}

/**
 * Orders nodes by their weight for `key`, highest first. Removing a node leaves the order of the others as it was; ties go by
 * node name, so every process gets the same order from the same set.
 */
export function rendezvousOrder(hasher: Hasher, key: string, nodes: readonly string[]): string[] {
  return nodes
    .map((node) => ({ node, weight: rendezvousWeight(hasher, key, node) }))
    .sort(byWeight)
    .map(({ node }) => node);
}

/** The node of highest weight for `key`, or undefined without nodes. */
export function rendezvousPick(
  hasher: Hasher,
  key: string,
  nodes: readonly string[],
): string | undefined {
  let best: Ranked | undefined;
  nodes.forEach((node) => {
    const ranked = { node, weight: rendezvousWeight(hasher, key, node) };
    if (best === undefined || byWeight(ranked, best) < 0) best = ranked;
  });
  return best?.node;
}

/** Bucket of a client account, from 0 to `buckets - 1`. */
export function accountBucket(hasher: Hasher, account: string, buckets: number): number {
  return hasher.hash32(account) % buckets;
}
