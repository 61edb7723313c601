/** Keeps this router's address in the platform's store, where the others find it. */
import { StoreFailure, StoreKind } from '@kingcupsill/prepared-platform';
import type { StoreClient, StoreObject } from '@kingcupsill/prepared-platform';
import type { Logger } from '@kingcupsill/runtime';

/** What a router writes of itself. */
export interface RouterAddress {
  address: string;
  incarnation: string;
}

/** Registration of one router. */
export interface RouterRegistration {
  /** Takes the address out; at the end of the process. */
  remove(): Promise<void>;
  close(): void;
}

const RETRY_MS = 700;

/** Reads another router's object; undefined where it isn't one. */
export function readRouterAddress(object: StoreObject): RouterAddress | undefined {
  const spec = object.spec as Partial<RouterAddress> | null | undefined;
  if (typeof spec?.address !== 'string' || typeof spec.incarnation !== 'string') return undefined;
  return { address: spec.address, incarnation: spec.incarnation };
}

/** Writes the address, again and again until it stands. */
export function registerRouter(
  client: StoreClient,
  name: string,
  own: RouterAddress,
  logger: Logger,
): RouterRegistration {
  let closed = false;
  let timer: NodeJS.Timeout | undefined;

  async function write(): Promise<void> {
    let outcome = await client.create(StoreKind.Routers, name, own);
    if (!outcome.ok && outcome.failure === StoreFailure.Conflict && outcome.current) {
      outcome = await client.replace(StoreKind.Routers, outcome.current, own);
    }
    if (closed) return;
    if (outcome.ok) {
      logger.info('registered', { revision: outcome.value.revision });
    } else {
      logger.debug('registration-failed', { failure: outcome.failure, detail: outcome.detail });
      timer = setTimeout(write, RETRY_MS);
    }
  }

  function close(): void {
    closed = true;
    clearTimeout(timer);
  }

  void write();
  return {
    async remove() {
      close();
      const outcome = await client.remove(StoreKind.Routers, name);
      if (!outcome.ok) logger.debug('deregistration-failed', { detail: outcome.detail });
    },
    close,
  };
}
