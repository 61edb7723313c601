/** Consistent hash ring: finds the nodes for a key without looking at all of them. */
import type { Hasher } from './types.js';

/** Ring over a fixed list of nodes. */
export interface HashRing<TNode> {
  /** Returns up to `count` different nodes for a key. When a node is added or removed, the others keep their order. */
  pick(key: string, count: number): TNode[];
}

interface Point<TNode> {
  hash: number;
  node: TNode;
}

/** Points of each node on the ring, so that the nodes' shares differ little. */
const POINTS_PER_NODE = 4;

/** Returns the index of the first point at or after `hash`. */
function findPoint<TNode>(points: readonly Point<TNode>[], hash: number): number {
  let low = 0;
  let high = points.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (points[middle]!.hash < hash) low = middle + 1;
    else high = middle;
  }
  return low;
}

/** Creates a ring of the nodes, whose names must differ. */
export function createHashRing<TNode>(
  hasher: Hasher,
  nodes: readonly TNode[],
  nameOf: (node: TNode) => string,
): HashRing<TNode> {
  const points = nodes
    .flatMap((node) =>
      Array.from({ length: POINTS_PER_NODE }, (_none, seed): Point<TNode> => ({
        hash: hasher.hash32(nameOf(node), seed),
        node,
      })),
    )
    .sort((a, b) => a.hash - b.hash);

  return {
    pick(key, count) {
      const picked = new Set<TNode>();
      const start = findPoint(points, hasher.hash32(key));
      for (let step = 0; step < points.length && picked.size < count; step += 1) {
        picked.add(points[(start + step) % points.length]!.node);
      }
      return [...picked];
    },
  };
}
