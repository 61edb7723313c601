/** Traits whose requests are refused for a time, because they crash the servers that run them. */
import { evictLeastRecentlyUsed, markRecentlyUsed } from '../../collections/index.js';

/** Group of traits; only requests that contain all of them are blocked. */
export interface BlockedTraits {
  traits: string[];
  remainingMs: number;
}

/** Blocked groups of traits. */
export interface CrashBlocks {
  /** Blocks a group, longer than the last time if it was blocked before. Returns the time, in milliseconds. */
  block(traits: readonly string[], nowMs: number): number;
  /** Applies a peer's block. Returns whether it is new. */
  applyPeerBlock(blocked: BlockedTraits, nowMs: number): boolean;
  /**
   * Removes traits from the groups, since requests with them are answered; the others of a group remain blocked. Returns whether
   * a group contained one of them.
   */
  clear(traits: readonly string[]): boolean;
  /** Returns the time for which a request with these traits remains blocked; 0 if it isn't. */
  remainingMs(traits: readonly string[], nowMs: number): number;
  listActive(nowMs: number): BlockedTraits[];
  /** Returns the groups whose block has ended, with the time of its end. */
  listEnded(nowMs: number): { traits: readonly string[]; endedAtMs: number }[];
}

interface Block {
  traits: readonly string[];
  untilMs: number;
  /** Duration of the next block. */
  nextMs: number;
}

/** Duration of the first block; it doubles with each further one, since each trial costs a server. */
const FIRST_BLOCK_MS = 120_000;
const MAX_BLOCK_MS = 1_800_000;
const MAX_BLOCKS = 256;

function keyOf(traits: readonly string[]): string {
  return [...traits].sort().join(',');
}

/** Creates the blocks of a router that blocks nothing. */
export function createCrashBlocks(): CrashBlocks {
  const blocks = new Map<string, Block>();

  function set(traits: readonly string[], untilMs: number, nextMs: number): void {
    markRecentlyUsed(blocks, keyOf(traits), { traits, untilMs, nextMs });
    evictLeastRecentlyUsed(blocks, MAX_BLOCKS);
  }

  return {
    block(traits, nowMs) {
      const durationMs = blocks.get(keyOf(traits))?.nextMs ?? FIRST_BLOCK_MS;
      set(traits, nowMs + durationMs, Math.min(MAX_BLOCK_MS, durationMs * 2));
      return durationMs;
    },
    applyPeerBlock({ traits, remainingMs }, nowMs) {
      // Every request has all of no traits.
      if (traits.length === 0) return false;
      const known = blocks.get(keyOf(traits));
      if (known !== undefined && known.untilMs >= nowMs) return false;
      const blockMs = Math.min(remainingMs, MAX_BLOCK_MS);
      set(traits, nowMs + blockMs, Math.min(MAX_BLOCK_MS, Math.max(FIRST_BLOCK_MS, blockMs) * 2));
      return true;
    },
    clear(traits) {
      const changed = [...blocks].filter(([, block]) =>
        block.traits.some((trait) => traits.includes(trait)),
      );
      changed.forEach(([key, { traits: blockedIds, untilMs, nextMs }]) => {
        blocks.delete(key);
        const remainingIds = blockedIds.filter((trait) => !traits.includes(trait));
        if (remainingIds.length > 0) set(remainingIds, untilMs, nextMs);
      });
      return changed.length > 0;
    },
    remainingMs(traits, nowMs) {
      let remainingMs = 0;
      blocks.forEach((block) => {
        if (block.traits.every((trait) => traits.includes(trait)))
          remainingMs = Math.max(remainingMs, block.untilMs - nowMs);
      });
      return remainingMs;
    },
    listActive: (nowMs) =>
      [...blocks.values()].flatMap(({ traits, untilMs }) =>
        nowMs < untilMs ? { traits: [...traits], remainingMs: untilMs - nowMs } : [],
      ),
    listEnded: (nowMs) =>
      [...blocks.values()].flatMap(({ traits, untilMs }) =>
        nowMs >= untilMs ? { traits, endedAtMs: untilMs } : [],
      ),
  };
}
