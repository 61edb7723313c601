/** Types of the composition of a process. */

/** One part: how it is made from other parts, and how it is closed. */
export interface ComponentDefinition<TParts, TPart> {
  /** Reads other parts from its argument, which makes them on first use. */
  create: (parts: TParts) => TPart;
  /** Closes the part. A part that is a promise is awaited first. */
  close?: (part: Awaited<TPart>) => void | Promise<void>;
}

/** Parts by name. */
export type ComponentDefinitions<TParts> = {
  [Name in keyof TParts]: ComponentDefinition<TParts, TParts[Name]>;
};

/** A composed process. */
export interface ComposedProcess<TParts> {
  /** Each part is made once, on first use. */
  components: TParts;
  /** Closes the parts that were made, the latest first. */
  close(): Promise<void>;
}
