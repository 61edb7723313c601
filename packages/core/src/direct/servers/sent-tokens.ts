/** Running total of the prompt tokens sent to a server, with its values at earlier times. */

/** Total of sent tokens. */
export interface SentTokens {
  add(nowMs: number, tokens: number): void;
  total(): number;
  /** Tokens sent after a time, of those that are remembered. */
  since(atMs: number): number;
}

/** Tokens sent within this time of each other have one entry. */
const RESOLUTION_MS = 20;
/** Entries that are kept: those of five seconds at any rate. */
const MAX_ENTRIES = 256;

interface Entry {
  atMs: number;
  /** Total before the tokens of the entry. */
  totalBefore: number;
}

/** Creates a total of no tokens. */
export function createSentTokens(): SentTokens {
  const entries: Entry[] = [];
  let total = 0;

  return {
    add(nowMs, tokens) {
      const last = entries.at(-1);
      if (last === undefined || nowMs - last.atMs >= RESOLUTION_MS) {
        entries.push({ atMs: nowMs, totalBefore: total });
        if (entries.length > MAX_ENTRIES) entries.shift();
      }
      total += tokens;
    },
    total: () => total,
    since(atMs) {
      // From the end, since most starts are of requests that were sent just before.
      const first = entries[entries.findLastIndex((entry) => entry.atMs < atMs) + 1];
      return first === undefined ? 0 : total - first.totalBefore;
    },
  };
}
