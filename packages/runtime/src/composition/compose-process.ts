/** Composes a process from parts through awilix, and closes them in reverse order. */
import { asFunction, createContainer } from 'awilix';
import VError from 'verror';
import type { ComposedProcess, ComponentDefinition, ComponentDefinitions } from './types.js';

type AnyPart<TParts> = ComponentDefinition<TParts, unknown>;

interface Opened {
  name: string;
  close: () => Promise<void>;
}

/** Registers the parts and makes none of them. awilix closes all parts at once, hence the order is kept here. */
export function composeProcess<TParts extends object>(
  table: ComponentDefinitions<TParts>,
): ComposedProcess<TParts> {
  const container = createContainer<TParts>({ strict: true });
  const opened: Opened[] = [];

  function register(name: string, part: AnyPart<TParts>): void {
    const create = (parts: TParts): unknown => {
      const made = part.create(parts);
      opened.push({ name, close: async () => part.close?.(await made) });
      return made;
    };
    container.register(name, asFunction(create).singleton());
  }

  async function close(): Promise<void> {
    const errors: Error[] = [];
    for (let last = opened.pop(); last !== undefined; last = opened.pop()) {
      const { name } = last;
      await last.close().catch((err: unknown) => {
        errors.push(new VError({ cause: err as Error }, 'closing part %s failed', name));
      });
    }
    const failed = VError.errorFromList(errors);
    if (failed !== null) throw failed;
  }

  Object.entries(table).forEach(([name, part]) => register(name, part as AnyPart<TParts>));
  return { components: container.cradle, close };
}
