/** Types of process composition. */

/** Factory of one component, and the function that closes it. */
export interface ComponentDefinition<TComponents, TComponent> {
  /** Creates the component. Reading a property of `components` creates that dependency on first use. */
  create: (components: TComponents) => TComponent;
  /** Closes the component. If `create` returned a promise, it is awaited first. */
  close?: (component: Awaited<TComponent>) => void | Promise<void>;
}

/** Component definitions by name. */
export type ComponentDefinitions<TComponents> = {
  [Name in keyof TComponents]: ComponentDefinition<TComponents, TComponents[Name]>;
};

/** Components of a process. */
export interface ComposedProcess<TComponents> {
  /** Components by name; each is created once, on first use. */
  components: TComponents;
  /** Closes all created components in reverse order. Rejects after the last if any failed to close. */
  close(): Promise<void>;
}
