/** Registration of the router's address in the platform's store, where the other routers find it. */
import type { RouterInfo } from '@kingcupsill/core/direct';
import { parseSocketAddress } from '@kingcupsill/core/http-syntax';
import { StoreFailure, StoreKind } from '@kingcupsill/prepared-platform';
import type { StoreClient, StoreObject } from '@kingcupsill/prepared-platform';
import type { Logger } from '@kingcupsill/runtime';
import type { EdgeContext } from '../context.js';
import type { StoreEra } from './store-era.js';

/** Stored content of a router's registration. */
export interface RouterEntry extends Omit<RouterInfo, 'name'> {
  incarnation: string;
}

/** Registration of a router as the store has it. */
export interface RegisteredRouter {
  name: string;
  revision: number;
  entry: RouterEntry;
}

/** Registration of one router. */
export interface RouterRegistration {
  /** Registers again if the store's entry of this router is missing or differs. */
  verify(stored: RegisteredRouter | undefined): void;
  /** Removes the address from the store; called at the end of the process. */
  remove(): Promise<void>;
  close(): void;
}

const RETRY_DELAY_MS = 700;

/** Decodes a router's registration; returns undefined if it is invalid. Entries of earlier builds state neither zone nor cores. */
export function readRouterEntry(object: StoreObject): RouterEntry | undefined {
  const spec = object.spec as Partial<RouterEntry> | null | undefined;
  if (typeof spec?.address !== 'string' || typeof spec.incarnation !== 'string') return undefined;
  const { address, incarnation, zone, cores } = spec;
  if (parseSocketAddress(address) === undefined) return undefined;
  return {
    address,
    incarnation,
    zone: typeof zone === 'string' ? zone : '',
    cores: typeof cores === 'number' && cores > 0 ? cores : 0,
  };
}

/** Entry of this router. */
export function ownRouterEntry({ settings, incarnation }: EdgeContext): RouterEntry {
  const { process: processSettings, peers } = settings();
  const { zone, cores } = processSettings;
  return { address: peers.address, incarnation, zone, cores };
}

/** Registers the address and retries until the store has accepted it. */
export function registerRouter(
  client: StoreClient,
  name: string,
  ownEntry: RouterEntry,
  era: StoreEra,
  logger: Logger,
): RouterRegistration {
  let closed = false;
  let retryTimer: NodeJS.Timeout | undefined;

  let registering = false;
  let registered: { era: number | undefined; revision: number } | undefined;

  async function register(): Promise<void> {
    registering = true;
    let result = await client.create(StoreKind.Routers, name, ownEntry);
    if (!result.ok && result.failure === StoreFailure.Conflict && result.current) {
      result = await client.replace(StoreKind.Routers, result.current, ownEntry);
    }
    registering = !result.ok;
    if (closed) return;
    if (result.ok) {
      registered = { era: result.era, revision: result.value.revision };
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

  /** A read that is older than the registration says nothing about it. */
  function isOutdated({ revision }: RegisteredRouter): boolean {
    return (
      registered !== undefined && registered.era === era.current() && revision < registered.revision
    );
  }

  function verify(stored: RegisteredRouter | undefined): void {
    if (stored !== undefined && isOutdated(stored)) return;
    const found = stored?.entry;
    const isCurrent =
      found?.address === ownEntry.address && found.incarnation === ownEntry.incarnation;
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
