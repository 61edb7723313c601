/** Journals of what ran. */
/** Append-only record of what a stand-in did, numbered from 1. */
export interface Journal<T> {
  /** Numbers and appends the entry itself, which the owner may complete later. */
  add(entry: T): T & { seq: number };
  /** Entries with a number greater than `seq`. */
  after(seq: number): (T & { seq: number })[];
}

/** Creates an empty journal. */
export const createJournal = <T extends object>(): Journal<T> => {
  const entries: (T & { seq: number })[] = [];
  return {
    add: (entry) => {
      const stored = Object.assign(entry, { seq: entries.length + 1 });
      entries.push(stored);
      return stored;
    },
    after: (seq) => entries.slice(Math.max(0, seq)),
  };
};
