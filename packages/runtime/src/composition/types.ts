/** Types of the composition of a process. */

/** One part: how it is made from other parts, and how it is closed. */
export interface Part<TParts, TPart> {
  /** Reads other parts from its argument, which makes them on first use. */
  create: (parts: TParts) => TPart;
  /** Closes the part. A part that is a promise is awaited first. */
  close?: (part: Awaited<TPart>) => void | Promise<void>;
}

/** Parts by name. */
export type PartTable<TParts> = { [Name in keyof TParts]: Part<TParts, TParts[Name]> };

/** A composed process. */
export interface Composition<TParts> {
  /** Each part is made once, on first use. */
  parts: TParts;
  /** Closes the parts that were made, the latest first. */
  close(): Promise<void>;
}
