/** Registration of the router's address in the platform's store, where the other routers find it. */
import { StoreFailure, StoreKind } from '@kingcupsill/prepared-platform';
import type { StoreClient, StoreObject } from '@kingcupsill/prepared-platform';
import type { Logger } from '@kingcupsill/runtime';

/** Stored content of a router's registration. */
export interface RouterAddress {
  address: string;
  incarnation: string;
}

/** Registration of one router. */
export interface RouterRegistration {
  /** Registers again if the store's entry of this router is missing or differs. */
  verify(stored: StoreObject | undefined): void;
  /** Removes the address from the store; called at the end of the process. */
  remove(): Promise<void>;
  close(): void;
}

const RETRY_DELAY_MS = 700;

/** Decodes a router's registration; returns undefined if it is invalid. */
export function readRouterAddress(object: StoreObject): RouterAddress | undefined {
  const spec = object.spec as Partial<RouterAddress> | null | undefined;
  if (typeof spec?.address !== 'string' || typeof spec.incarnation !== 'string') return undefined;
  return { address: spec.address, incarnation: spec.incarnation };
}

/** Registers the address and retries until the store has accepted it. */
export function registerRouter(
  client: StoreClient,
  name: string,
  ownAddress: RouterAddress,
  logger: Logger,
): RouterRegistration {
  let closed = false;
  let retryTimer: NodeJS.Timeout | undefined;

  let registering = false;

  async function register(): Promise<void> {
    registering = true;
    let result = await client.create(StoreKind.Routers, name, ownAddress);
    if (!result.ok && result.failure === StoreFailure.Conflict && result.current) {
      result = await client.replace(StoreKind.Routers, result.current, ownAddress);
    }
    registering = !result.ok;
    if (closed) return;
    if (result.ok) {
      logger.info('registered', { revision: result.value.revision });
    } else {
      logger.debug('registration-failed', { failure: result.failure, detail: result.detail });
      retryTimer = setTimeout(register, RETRY_DELAY_MS);
    }
  }

  function close(): void {
    closed = true;
    clearTimeout(retryTimer);
  }

  function verify(stored: StoreObject | undefined): void {
    const found = stored && readRouterAddress(stored);
    const isCurrent =
      found?.address === ownAddress.address && found.incarnation === ownAddress.incarnation;
    if (isCurrent || registering || closed) return;
    logger.info('registration-missing', { incarnation: found?.incarnation });
    void register();
  }

  void register();
  return {
    verify,
    async remove() {
      close();
      const result = await client.remove(StoreKind.Routers, name);
      if (!result.ok) logger.debug('deregistration-failed', { detail: result.detail });
    },
    close,
  };
}
