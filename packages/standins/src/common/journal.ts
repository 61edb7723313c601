/** Journals of executed requests and writes. */
/** Append-only list of entries with sequence numbers from 1. */
export interface Journal<T> {
  /** Assigns a sequence number to the entry and appends the same object, so that the caller can update it later. */
  add(entry: T): T & { seq: number };
  /** Returns the entries with a sequence number greater than `seq`. */
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
