/** Dependency injection with awilix; components are closed in reverse order of creation. */
import { asFunction, createContainer } from 'awilix';
import VError from 'verror';
import type { ComposedProcess, ComponentDefinition, ComponentDefinitions } from './types.js';

type AnyComponent<TComponents> = ComponentDefinition<TComponents, unknown>;

interface CreatedComponent {
  name: string;
  close: () => Promise<void>;
}

/** Registers components, which are created on first use. awilix disposes of components concurrently, so their order is tracked here. */
export function composeProcess<TComponents extends object>(
  definitions: ComponentDefinitions<TComponents>,
): ComposedProcess<TComponents> {
  const container = createContainer<TComponents>({ strict: true });
  const created: CreatedComponent[] = [];

  function register(name: string, definition: AnyComponent<TComponents>): void {
    const create = (components: TComponents): unknown => {
      const component = definition.create(components);
      created.push({ name, close: async () => definition.close?.(await component) });
      return component;
    };
    container.register(name, asFunction(create).singleton());
  }

  async function close(): Promise<void> {
    const errors: Error[] = [];
    for (let last = created.pop(); last !== undefined; last = created.pop()) {
      const { name } = last;
      await last.close().catch((err: unknown) => {
        errors.push(new VError({ cause: err as Error }, 'closing component %s failed', name));
      });
    }
    const combinedError = VError.errorFromList(errors);
    if (combinedError !== null) throw combinedError;
  }

  Object.entries(definitions).forEach(([name, definition]) =>
    register(name, definition as AnyComponent<TComponents>),
  );
  return { components: container.cradle, close };
}
