/** Prompt parts whose requests are refused for a time, because they crash the servers that answer them. */
import { evictLeastRecentlyUsed, markRecentlyUsed } from '../collections/index.js';

/** Group of parts; only requests that contain all of them are blocked. */
export interface BlockedParts {
  partIds: string[];
  remainingMs: number;
}

/** Blocked groups of parts. */
export interface PartBlocks {
  /** Blocks a group, longer than the last time if it was blocked before. Returns the time, in milliseconds. */
  block(partIds: readonly string[], nowMs: number): number;
  /** Applies a peer's block. Returns whether it is new. */
  applyPeerBlock(blocked: BlockedParts, nowMs: number): boolean;
  /**
   * Removes parts from the groups, since requests with them are answered; the other parts of a group remain blocked. Returns whether
   * a group contained one of them.
   */
  clear(partIds: readonly string[]): boolean;
  /** Returns the time for which a request with these parts remains blocked; 0 if it isn't. */
  remainingMs(partIds: readonly string[], nowMs: number): number;
  listActive(nowMs: number): BlockedParts[];
  /** Returns the groups whose block has ended, with the time of its end. */
  listEnded(nowMs: number): { partIds: readonly string[]; endedAtMs: number }[];
}

interface Block {
  partIds: readonly string[];
  untilMs: number;
  /** Duration of the next block. */
  nextMs: number;
}

/** Duration of the first block; it doubles with each further one, since each trial costs a server. */
const FIRST_BLOCK_MS = 120_000;
const MAX_BLOCK_MS = 1_800_000;
const MAX_BLOCKS = 256;

function keyOf(partIds: readonly string[]): string {
  return [...partIds].sort().join(',');
}

/** Creates the blocks of a router that blocks nothing. */
export function createPartBlocks(): PartBlocks {
  const blocks = new Map<string, Block>();

  function set(partIds: readonly string[], untilMs: number, nextMs: number): void {
    markRecentlyUsed(blocks, keyOf(partIds), { partIds, untilMs, nextMs });
    evictLeastRecentlyUsed(blocks, MAX_BLOCKS);
  }

  return {
    block(partIds, nowMs) {
      const durationMs = blocks.get(keyOf(partIds))?.nextMs ?? FIRST_BLOCK_MS;
      set(partIds, nowMs + durationMs, Math.min(MAX_BLOCK_MS, durationMs * 2));
      return durationMs;
    },
    applyPeerBlock({ partIds, remainingMs }, nowMs) {
      const known = blocks.get(keyOf(partIds));
      if (known !== undefined && known.untilMs >= nowMs) return false;
      const blockMs = Math.min(remainingMs, MAX_BLOCK_MS);
      set(partIds, nowMs + blockMs, Math.min(MAX_BLOCK_MS, Math.max(FIRST_BLOCK_MS, blockMs) * 2));
      return true;
    },
    clear(partIds) {
      const changed = [...blocks].filter(([, block]) =>
        block.partIds.some((partId) => partIds.includes(partId)),
      );
      changed.forEach(([key, { partIds: blockedIds, untilMs, nextMs }]) => {
        blocks.delete(key);
        const remainingIds = blockedIds.filter((partId) => !partIds.includes(partId));
        if (remainingIds.length > 0) set(remainingIds, untilMs, nextMs);
      });
      return changed.length > 0;
    },
    remainingMs(partIds, nowMs) {
      let remainingMs = 0;
      blocks.forEach((block) => {
        if (block.partIds.every((partId) => partIds.includes(partId)))
          remainingMs = Math.max(remainingMs, block.untilMs - nowMs);
      });
      return remainingMs;
    },
    listActive: (nowMs) =>
      [...blocks.values()].flatMap(({ partIds, untilMs }) =>
        nowMs < untilMs ? { partIds: [...partIds], remainingMs: untilMs - nowMs } : [],
      ),
    listEnded: (nowMs) =>
      [...blocks.values()].flatMap(({ partIds, untilMs }) =>
        nowMs >= untilMs ? { partIds, endedAtMs: untilMs } : [],
      ),
  };
}
