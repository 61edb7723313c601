/**
 * Finds the prompt parts that crash the servers that answer them, from the requests whose attempts broke when servers crashed. A part
 * of answered requests isn't suspected; among the others, the part that explains most crashes is held responsible for them.
 */
import { createServedTraits } from './served-parts.js';
import type { ServedTraits } from './served-parts.js';

/** Evidence of crashes by prompt part. */
export interface CrashSuspects {
  /** Records that attempts with these parts broke when a server crashed. */
  recordCrash(serverKey: string, traits: readonly string[], nowMs: number): void;
  /** Records that a request with these parts was answered. Returns the parts that were suspected until then. */
  recordServed(traits: readonly string[], nowMs: number): string[];
  /** Records that a server answers; a broken attempt shortly before was no crash. */
  recordServerAlive(serverKey: string, nowMs: number): void;
  /** Returns whether one of the parts is suspected of several crashes. */
  isSuspected(traits: readonly string[], nowMs: number): boolean;
  /** Returns whether a request with the part was answered after `atMs` or not long before it. */
  isServed(trait: string, atMs: number): boolean;
  /**
   * Returns the parts that are responsible for crashes and removes their evidence. Parts of one group occurred in the same crashes,
   * so that only a request with all of them is known to crash its server.
   */
  takeCulprits(nowMs: number): string[][];
  /** Returns whether all parts occurred in a crash after `sinceMs`. */
  hasCrashedWith(traits: readonly string[], sinceMs: number): boolean;
}

interface Crash {
  serverKey: string;
  atMs: number;
  traits: Set<string>;
}

/** Maximum time between the first and the last broken attempt of one crash, over all routers' reports. */
const SAME_CRASH_MS = 1500;
/** Time for which a crash counts. */
const CRASH_MEMORY_MS = 30_000;
const MAX_CRASHES = 64;
/** Crashes that one part must explain to be held responsible. */
const MIN_CRASHES = 3;
/** Crashes from which a part is suspected. */
const MIN_SUSPECTED_CRASHES = 2;
/** Time after the last required crash in which an answer to a request with the part can still clear it. */
const CONFIRMATION_MS = 500;
/** Times after a broken attempt in which an answer shows that its server hasn't crashed. */
const ALIVE_AFTER_MS = 200;
const ALIVE_UNTIL_MS = 2000;

/** Returns the crashes by the parts that may be responsible for them. */
function groupByTrait(crashes: readonly Crash[], served: ServedTraits): Map<string, Crash[]> {
  const byTrait = new Map<string, Crash[]>();
  crashes.forEach((crash) => {
    crash.traits.forEach((trait) => {
      if (served.isServed(trait, crash.atMs)) return;
      byTrait.set(trait, [...(byTrait.get(trait) ?? []), crash]);
    });
  });
  return byTrait;
}

/** Returns the parts that occurred in most crashes, and these crashes. */
function findBestGroup(
  crashes: readonly Crash[],
  served: ServedTraits,
): { traits: string[]; explained: Crash[] } {
  const byTrait = groupByTrait(crashes, served);
  const explained = [...byTrait.values()].reduce(
    (best, next) => (next.length > best.length ? next : best),
    [],
  );
  const traits = [...byTrait].flatMap(([trait, own]) =>
    own.length === explained.length && own.every((crash) => explained.includes(crash)) ? trait : [],
  );
  return { traits, explained };
}

/** Creates the evidence of a router that has seen no crash. */
export function createCrashSuspects(): CrashSuspects {
  let crashes: Crash[] = [];
  const served = createServedTraits();

  function prune(nowMs: number): void {
    crashes = crashes.filter(({ atMs }) => nowMs - atMs < CRASH_MEMORY_MS).slice(-MAX_CRASHES);
  }

  return {
    recordCrash(serverKey, traits, nowMs) {
      if (traits.length === 0) return;
      prune(nowMs);
      let crash = crashes.find(
        (known) => known.serverKey === serverKey && nowMs - known.atMs < SAME_CRASH_MS,
      );
      if (crash === undefined) {
        crash = { serverKey, atMs: nowMs, traits: new Set() };
        crashes.push(crash);
      }
      traits.forEach((trait) => crash.traits.add(trait));
    },
    recordServed(traits, nowMs) {
      served.record(traits, nowMs);
      if (crashes.length === 0) return [];
      const cleared = traits.filter((id) => crashes.some((crash) => crash.traits.has(id)));
      crashes.forEach((crash) => cleared.forEach((trait) => crash.traits.delete(trait)));
      return cleared;
    },
    recordServerAlive(serverKey, nowMs) {
      if (crashes.length === 0) return;
      crashes = crashes.filter(({ serverKey: crashedKey, atMs }) => {
        const sinceMs = nowMs - atMs;
        return crashedKey !== serverKey || sinceMs < ALIVE_AFTER_MS || sinceMs > ALIVE_UNTIL_MS;
      });
    },
    isSuspected(traits, nowMs) {
      if (crashes.length < MIN_SUSPECTED_CRASHES) return false;
      prune(nowMs);
      const byTrait = groupByTrait(crashes, served);
      return traits.some((trait) => (byTrait.get(trait)?.length ?? 0) >= MIN_SUSPECTED_CRASHES);
    },
    isServed: served.isServed,
    takeCulprits(nowMs) {
      prune(nowMs);
      const culprits: string[][] = [];
      let unexplained = crashes;
      for (;;) {
        const { traits, explained } = findBestGroup(unexplained, served);
        if (explained.length < MIN_CRASHES) return culprits;
        unexplained = unexplained.filter((crash) => !explained.includes(crash));
        if (nowMs - explained[MIN_CRASHES - 1]!.atMs >= CONFIRMATION_MS) {
          culprits.push(traits);
          crashes = crashes.filter((crash) => !explained.includes(crash));
        }
      }
    },
    hasCrashedWith: (traits, sinceMs) =>
      crashes.some((crash) => crash.atMs > sinceMs && traits.every((id) => crash.traits.has(id))),
  };
}
