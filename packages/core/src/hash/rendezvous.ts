/** Rendezvous (highest random weight) hashing and hash buckets of client accounts. */
import type { Hasher } from './types.js';

interface WeightedNode {
  node: string;
  weight: number;
}

function compareByWeight(a: WeightedNode, b: WeightedNode): number {
  if (a.weight !== b.weight) return b.weight - a.weight;
  return a.node < b.node ? -1 : 1;
}

/** Returns the weight of the node for `key`; the node with the highest weight is picked. */
export function rendezvousWeight(hasher: Hasher, key: string, node: string): number {
  return hasher.hash32(`${key}\u0000${node}`);
}

/**
 * Returns the nodes ordered by descending weight for `key`. Removing a node does not change the order of the others. Ties are
 * broken by node name, so every process gets the same order for the same set of nodes.
 */
export function rendezvousOrder(hasher: Hasher, key: string, nodes: readonly string[]): string[] {
  return nodes
    .map((node) => ({ node, weight: rendezvousWeight(hasher, key, node) }))
    .sort(compareByWeight)
    .map(({ node }) => node);
}

/** Returns the node with the highest weight for `key`, or undefined if there are no nodes. */
export function rendezvousPick(
  hasher: Hasher,
  key: string,
  nodes: readonly string[],
): string | undefined {
  let best: WeightedNode | undefined;
  nodes.forEach((node) => {
    const ranked = { node, weight: rendezvousWeight(hasher, key, node) };
    if (best === undefined || compareByWeight(ranked, best) < 0) best = ranked;
  });
  return best?.node;
}

/** Returns the bucket of a client account, from 0 to `buckets - 1`. */
export function accountBucket(hasher: Hasher, account: string, buckets: number): number {
  return hasher.hash32(account) % buckets;
}
