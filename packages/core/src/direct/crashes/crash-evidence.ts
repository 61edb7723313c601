/** Event handling around requests that crash servers: collects evidence, exchanges it with peers and blocks traits. */
import { createCrashBlocks } from './blocked-traits.js';
import type { CrashBlocks } from './blocked-traits.js';
import { createCrashNews } from './crash-news.js';
import type { CrashNews } from './crash-news.js';
import { createCrashSuspects } from './crash-suspects.js';
import type { CrashSuspects } from './crash-suspects.js';
import type { DirectEffect } from '../events.js';
import { createServedTraits } from './served-traits.js';
import type { ServedTraits } from './served-traits.js';
import { AttemptOutcome } from '../types.js';

/** Crash evidence of one router. */
export interface CrashEvidence {
  suspects: CrashSuspects;
  blocks: CrashBlocks;
  /** Traits of requests that were answered through this router. */
  ownServed: ServedTraits;
  /** News for the next report to peers. */
  news: CrashNews;
}

/** Age of an answer, from its first event, at which a broken attempt no longer shows that its request crashed the server. */
const MAX_CRASH_AGE_MS = 1000;
/** Outcomes that only a running server produces. */
const ALIVE_OUTCOMES = new Set<AttemptOutcome>([
  AttemptOutcome.Complete,
  AttemptOutcome.Failed,
  AttemptOutcome.Invalid,
  AttemptOutcome.NotRun,
]);

/** Creates the evidence of a router that has seen no crash. */
export function createCrashEvidence(): CrashEvidence {
  return {
    suspects: createCrashSuspects(),
    blocks: createCrashBlocks(),
    ownServed: createServedTraits(),
    news: createCrashNews(),
  };
}

/** Ended attempt, as far as it is evidence. */
export interface EndedAttempt {
  serverKey: string;
  outcome: AttemptOutcome;
  /** Traits of the request. */
  traits: readonly string[];
  /** Time at which the request was sent. */
  sentAtMs: number;
  /** Time of the first event; undefined if there was none. */
  begunAtMs: number | undefined;
}

function noteBlocked(traits: readonly string[], forMs: number, source: string): DirectEffect {
  const fields = { traits: traits.join(','), forMs: Math.round(forMs), source };
  return { kind: 'note', event: 'crashing-requests-blocked', fields };
}

function noteCleared(traits: readonly string[], source: string): DirectEffect {
  return {
    kind: 'note',
    event: 'crashing-requests-cleared',
    fields: { traits: traits.join(','), source },
  };
}

/** Records the end of one of this router's own attempts. Returns the log lines of changed beliefs. */
export function recordAttemptEnd(
  { suspects, blocks, ownServed, news }: CrashEvidence,
  { serverKey, outcome, traits, sentAtMs, begunAtMs }: EndedAttempt,
  nowMs: number,
): DirectEffect[] {
  if (ALIVE_OUTCOMES.has(outcome)) suspects.recordServerAlive(serverKey, sentAtMs);
  if (outcome === AttemptOutcome.Complete) {
    ownServed.record(traits, nowMs);
    news.served.push(...suspects.recordServed(traits, nowMs));
    if (blocks.clear(traits)) {
      news.served.push(...traits);
      return [noteCleared(traits, 'answer')];
    }
  }
  const hasBegunLongAgo = begunAtMs !== undefined && nowMs - begunAtMs > MAX_CRASH_AGE_MS;
  if (outcome !== AttemptOutcome.Unknown || hasBegunLongAgo) return [];
  const suspected = traits.filter((trait) => !suspects.isServed(trait, nowMs));
  if (suspected.length === 0) return [];
  suspects.recordCrash(serverKey, suspected, nowMs);
  news.crashes.push([serverKey, suspected]);
  return [];
}

/** Applies a peer's news. */
export function applyCrashNews(
  { suspects, blocks, ownServed, news }: CrashEvidence,
  { crashes, served, blocked }: CrashNews,
  nowMs: number,
): DirectEffect[] {
  crashes.forEach(([serverKey, traits]) => {
    // Repeating what peers have stated would keep a trait cleared for ever.
    news.served.push(...traits.filter((trait) => ownServed.isServed(trait, nowMs)));
    const suspected = traits.filter((trait) => !suspects.isServed(trait, nowMs));
    suspects.recordCrash(serverKey, suspected, nowMs);
  });
  suspects.recordServed(served, nowMs);
  const cleared = blocks.clear(served) ? [noteCleared(served, 'peer')] : [];
  const newlyBlocked = blocked
    .filter((block) => blocks.applyPeerBlock(block, nowMs))
    .map(({ traits, remainingMs }) => noteBlocked(traits, remainingMs, 'peer'));
  return [...cleared, ...newlyBlocked];
}

/** Blocks the traits that are responsible for crashes, and those that crash servers again after their block. */
export function blockCulprits(
  { suspects, blocks, news }: CrashEvidence,
  nowMs: number,
): DirectEffect[] {
  const relapsed = blocks
    .listEnded(nowMs)
    .filter(({ traits, endedAtMs }) => suspects.hasCrashedWith(traits, endedAtMs))
    .map(({ traits }) => [...traits]);
  // A peer may have blocked them on the same evidence.
  const culprits = suspects
    .takeCulprits(nowMs)
    .filter((traits) => blocks.remainingMs(traits, nowMs) === 0);
  return [...relapsed, ...culprits].map((traits) => {
    const remainingMs = blocks.block(traits, nowMs);
    news.blocked.push({ traits, remainingMs });
    return noteBlocked(traits, remainingMs, 'crashes');
  });
}
