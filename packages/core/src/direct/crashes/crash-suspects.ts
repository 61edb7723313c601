/**
 * Finds the traits of requests that crash the servers that run them, from the requests whose attempts broke when servers crashed. A
 * trait of answered requests isn't suspected; among the others, the trait that explains most crashes is held responsible for them.
 */
import { CRASH_MEMORY_MS, createServedTraits } from './served-traits.js';
import type { ServedTraits } from './served-traits.js';

/** Evidence of crashes by trait. */
export interface CrashSuspects {
  /** Records that the attempt of a request with these traits broke when a server crashed. */
  recordCrash(serverKey: string, traits: readonly string[], nowMs: number): void;
  /** Records that a request with these traits was answered. Returns the traits that were suspected until then. */
  recordServed(traits: readonly string[], nowMs: number): string[];
  /** Records that a server answers a request that was sent at `sentAtMs`; attempts that broke before that were no crash. */
  recordServerAlive(serverKey: string, sentAtMs: number): void;
  /** Returns whether one of the traits is suspected of several crashes. */
  isSuspected(traits: readonly string[], nowMs: number): boolean;
  /** Returns whether a request with the trait was answered after `atMs` or not long before it. */
  isServed(trait: string, atMs: number): boolean;
  /**
   * Returns the traits that are responsible for crashes and removes their evidence. Traits of one group occurred together in the same
   * crashes, so that only a request with all of them is known to crash its server.
   */
  takeCulprits(nowMs: number): string[][];
  /** Returns whether a request with all traits was at a server that crashed after `sinceMs`. */
  hasCrashedWith(traits: readonly string[], sinceMs: number): boolean;
}

interface BrokenRequest {
  atMs: number;
  traits: Set<string>;
}

interface Crash {
  serverKey: string;
  /** Time of the first broken attempt. */
  atMs: number;
  requests: BrokenRequest[];
}

/** Crashes that the same traits explain. */
interface Explanation {
  crashes: Crash[];
  /** Groups of traits; each of them alone explains the crashes. */
  groups: string[][];
  /** Number of crashes that these groups must explain. */
  requiredCrashes: number;
}

/** Maximum time between the first and the last broken attempt of one crash, over all routers' reports. */
const SAME_CRASH_MS = 1500;
const MAX_CRASHES = 1024;
/** Maximum number of broken requests of all crashes; the search looks at all of them. */
const MAX_BROKEN_REQUESTS = 8192;
/** Maximum number of requests that are kept of one crash. */
const MAX_REQUESTS_PER_CRASH = 128;
/** Crashes that one trait must explain to be held responsible. */
const MIN_CRASHES = 3;
/** Crashes that traits of different requests must explain: one of them may have been a victim of the other each time. */
const MIN_AMBIGUOUS_CRASHES = 4;
/** Crashes from which a trait is suspected. */
const MIN_SUSPECTED_CRASHES = 2;
/** Minimum time between two searches, each of which looks at all crashes; while many servers fail, evidence changes constantly. */
const SEARCH_PERIOD_MS = 200;
/** Time after the last required crash in which an answer to a request with the trait can still clear it. */
const CONFIRMATION_MS = 500;

function hasTrait(crash: Crash, trait: string): boolean {
  return crash.requests.some(({ traits }) => traits.has(trait));
}

/** Returns the latest crashes with as many requests as are kept. */
function keepLatest(crashes: Crash[]): Crash[] {
  let requestCount = 0;
  const firstKept = crashes.findLastIndex(({ requests }) => {
    requestCount += requests.length;
    return requestCount > MAX_BROKEN_REQUESTS;
  });
  return crashes.slice(firstKept + 1);
}

function hasRequestWith({ requests }: Crash, traits: readonly string[]): boolean {
  return requests.some((own) => traits.every((trait) => own.traits.has(trait)));
}

/** Returns the number of crashes for which a trait may be responsible. */
function countCrashes(crashes: readonly Crash[], trait: string, served: ServedTraits): number {
  const own = crashes.filter((crash) => hasTrait(crash, trait));
  return own.filter(({ atMs }) => !served.isServed(trait, atMs)).length;
}

function removeTraits(crashes: readonly Crash[], traits: readonly string[]): void {
  crashes.forEach(({ requests }) =>
    requests.forEach((own) => traits.forEach((trait) => own.traits.delete(trait))),
  );
}

function isDisproved(crash: Crash, serverKey: string, sentAtMs: number): boolean {
  return crash.serverKey === serverKey && crash.atMs < sentAtMs;
}

/** Returns the crash without the attempts that broke before `atMs`, if there are others. */
function withoutEarlier(crash: Crash, atMs: number): Crash[] {
  const requests = crash.requests.filter((request) => request.atMs >= atMs);
  return requests.length > 0 ? [{ ...crash, atMs: requests[0]!.atMs, requests }] : [];
}

/** Returns the crashes by the traits that may be responsible for them. */
function groupByTrait(crashes: readonly Crash[], served: ServedTraits): Map<string, Crash[]> {
  const byTrait = new Map<string, Crash[]>();
  crashes.forEach((crash) => {
    const traits = new Set(crash.requests.flatMap((request) => [...request.traits]));
    traits.forEach((trait) => {
      if (served.isServed(trait, crash.atMs)) return;
      const known = byTrait.get(trait);
      if (known === undefined) byTrait.set(trait, [crash]);
      else known.push(crash);
    });
  });
  return byTrait;
}

/** Groups traits by whether they occurred in the same requests. */
function groupByRequest(traits: readonly string[], crashes: readonly Crash[]): string[][] {
  const groups: string[][] = [];
  traits.forEach((trait) => {
    const group = groups.find(([first]) =>
      crashes.every(({ requests }) =>
        requests.some((own) => own.traits.has(first!) && own.traits.has(trait)),
      ),
    );
    if (group === undefined) groups.push([trait]);
    else group.push(trait);
  });
  return groups;
}

/** Returns the crashes that one trait explains, as many as possible, and all traits that explain the same ones. */
function findBestExplanation(byTrait: ReadonlyMap<string, Crash[]>): Explanation {
  const explained = [...byTrait.values()].reduce(
    (best, next) => (next.length > best.length ? next : best),
    [],
  );
  const traits = [...byTrait].flatMap(([trait, own]) =>
    own.length === explained.length && own.every((crash) => explained.includes(crash)) ? trait : [],
  );
  const groups = groupByRequest(traits, explained);
  const requiredCrashes = groups.length > 1 ? MIN_AMBIGUOUS_CRASHES : MIN_CRASHES;
  return { crashes: explained, groups, requiredCrashes };
}

/** Returns the traits that stand in enough of the crashes other than the explained ones. */
function withoutExplained(
  byTrait: ReadonlyMap<string, Crash[]>,
  explained: readonly Crash[],
): Map<string, Crash[]> {
  const known = new Set(explained);
  return new Map(
    [...byTrait].flatMap(([trait, crashes]): [string, Crash[]][] => {
      const others = crashes.filter((crash) => !known.has(crash));
      return others.length >= MIN_CRASHES ? [[trait, others]] : [];
    }),
  );
}

/** Returns the time at which the last required crash broke a request with the trait. */
function requiredAtMs({ crashes, requiredCrashes }: Explanation, trait: string): number {
  const timesMs = crashes.map(({ requests }) =>
    Math.min(...requests.flatMap((own) => (own.traits.has(trait) ? own.atMs : []))),
  );
  return timesMs.sort((a, b) => a - b)[requiredCrashes - 1]!;
}

/** Returns all explanations that are based on enough crashes. */
function findExplanations(crashes: readonly Crash[], served: ServedTraits): Explanation[] {
  const explanations: Explanation[] = [];
  // Most traits stand in one crash only.
  let byTrait = withoutExplained(groupByTrait(crashes, served), []);
  while (byTrait.size > 0) {
    const best = findBestExplanation(byTrait);
    byTrait = withoutExplained(byTrait, best.crashes);
    if (best.crashes.length >= best.requiredCrashes) explanations.push(best);
  }
  return explanations;
}

/** Creates the evidence of a router that has seen no crash. */
export function createCrashSuspects(): CrashSuspects {
  let crashes: Crash[] = [];
  const served = createServedTraits();
  /** Undefined after a change of the evidence. */
  let explanations: Explanation[] | undefined;
  let searchedAtMs = Number.NEGATIVE_INFINITY;

  function replaceCrashes(kept: Crash[]): void {
    if (kept.length !== crashes.length) explanations = undefined;
    crashes = kept;
  }

  function prune(nowMs: number): void {
    const recent = crashes.filter(({ atMs }) => nowMs - atMs < CRASH_MEMORY_MS);
    replaceCrashes(keepLatest(recent.slice(-MAX_CRASHES)));
  }

  function search(nowMs: number): Explanation[] {
    if (explanations === undefined && nowMs - searchedAtMs >= SEARCH_PERIOD_MS) {
      explanations = findExplanations(crashes, served);
      searchedAtMs = nowMs;
    }
    return explanations ?? [];
  }

  function getCrash(serverKey: string, nowMs: number): Crash {
    const known = crashes.find(
      (crash) => crash.serverKey === serverKey && nowMs - crash.atMs < SAME_CRASH_MS,
    );
    if (known !== undefined) return known;
    const crash = { serverKey, atMs: nowMs, requests: [] };
    crashes.push(crash);
    return crash;
  }

  function recordServerAlive(serverKey: string, sentAtMs: number): void {
    if (!crashes.some((crash) => isDisproved(crash, serverKey, sentAtMs))) return;
    crashes = crashes.flatMap((crash) =>
      isDisproved(crash, serverKey, sentAtMs) ? withoutEarlier(crash, sentAtMs) : crash,
    );
    explanations = undefined;
  }

  return {
    recordCrash(serverKey, traits, nowMs) {
      if (traits.length === 0) return;
      prune(nowMs);
      const { requests } = getCrash(serverKey, nowMs);
      if (requests.length < MAX_REQUESTS_PER_CRASH)
        requests.push({ atMs: nowMs, traits: new Set(traits) });
      explanations = undefined;
    },
    recordServed(traits, nowMs) {
      served.record(traits, nowMs);
      if (crashes.length === 0) return [];
      const cleared = traits.filter((trait) => crashes.some((crash) => hasTrait(crash, trait)));
      if (cleared.length === 0) return [];
      removeTraits(crashes, cleared);
      explanations = undefined;
      return cleared;
    },
    recordServerAlive,
    isSuspected(traits, nowMs) {
      if (crashes.length < MIN_SUSPECTED_CRASHES) return false;
      prune(nowMs);
      return traits.some((trait) => countCrashes(crashes, trait, served) >= MIN_SUSPECTED_CRASHES);
    },
    isServed: served.isServed,
    takeCulprits(nowMs) {
      prune(nowMs);
      const found = search(nowMs);
      const confirmed = found.filter((explanation) =>
        explanation.groups.every(
          ([trait]) => nowMs - requiredAtMs(explanation, trait!) >= CONFIRMATION_MS,
        ),
      );
      if (confirmed.length === 0) return [];
      const explained = new Set(confirmed.flatMap((explanation) => explanation.crashes));
      replaceCrashes(crashes.filter((crash) => !explained.has(crash)));
      return confirmed.flatMap(({ groups }) => groups);
    },
    hasCrashedWith: (traits, sinceMs) =>
      crashes.some((crash) => crash.atMs > sinceMs && hasRequestWith(crash, traits)),
  };
}
