/** Listing of all objects of one kind. */
import { StoreFailure } from '@kingcupsill/prepared-platform';
import type {
  ReadMode,
  StoreClient,
  StoreKind,
  StoreObject,
  StorePosition,
} from '@kingcupsill/prepared-platform';
import type { Logger } from '@kingcupsill/runtime';
import type { CallResults } from './call-results.js';
import type { StoreEra } from './store-era.js';

/** Reads what is needed of an object; returns undefined if it holds nothing for this router. */
export type ReadObject<TValue> = (object: StoreObject) => TValue | undefined;

/** What is needed of the objects of a kind, and the position from which their changes can be watched. */
export interface Listing<TValue> {
  values: TValue[];
  /** Reasons why further objects are left out. */
  unreadable: string[];
  position: StorePosition;
}

/** Several times what is kept of all objects of a kind in the largest deployments, in characters of JSON. */
const MAX_KEPT_SIZE = 24 * 1024 * 1024;
/** Many times the pages of the largest deployments; a listing that has more is taken to have no end. */
const MAX_PAGES = 1024;

/** Returns the position; an answer that states no era is taken to be of the current one. */
export function inCurrentEra({ era, revision }: StorePosition, current: StoreEra): StorePosition {
  return { era: era ?? current.current(), revision };
}

/** Logs why objects or changes of a kind are left out. */
export function logUnreadable(
  { kind, logger }: { kind: StoreKind; logger: Logger },
  messages: readonly string[],
): void {
  messages.forEach((message) => logger.warn('object-unreadable', { kind, message }));
}

/** Size of what is kept of a page. */
function measure(kept: readonly unknown[]): number {
  return kept.length === 0 ? 0 : JSON.stringify(kept).length;
}

/** Kind to be listed. */
export interface ListOptions<TValue> {
  client: StoreClient;
  kind: StoreKind;
  era: StoreEra;
  read: ReadObject<TValue>;
}

/**
 * Lists all pages; foreign objects are released with their page and count in no limit. Returns undefined if a call fails, the
 * pages don't end, too much is needed of them, the store is restored meanwhile, or the listing isn't wanted any more.
 */
export async function listObjects<TValue>(
  { client, kind, era, read }: ListOptions<TValue>,
  results: Pick<CallResults, 'record' | 'responseTimeoutMs'>,
  mode: ReadMode,
  isClosed: () => boolean,
): Promise<Listing<TValue> | undefined> {
  const values: TValue[] = [];
  const unreadable: string[] = [];
  let keptSize = 0;
  let pages = 0;
  let cursor: string | undefined;
  let position: StorePosition | undefined;
  do {
    const page = await client.listPage(kind, cursor, results.responseTimeoutMs(), mode);
    if (isClosed() || !results.record(page) || !page.ok) return undefined;
    // The watch starts at the first page's position, so it returns the changes made during the listing.
    position ??= inCurrentEra(page.value.position, era);
    if (position.era !== era.current()) return undefined;
    const kept = page.value.objects.flatMap((object) => read(object) ?? []);
    pages += 1;
    keptSize += measure(kept);
    if (keptSize > MAX_KEPT_SIZE || pages > MAX_PAGES) {
      const detail = `listing of ${pages} pages, of which ${keptSize} characters are needed`;
      results.record({ ok: false, failure: StoreFailure.TooLarge, detail });
      return undefined;
    }
    values.push(...kept);
    unreadable.push(...page.value.unreadable);
    cursor = page.value.nextCursor;
  } while (cursor !== undefined);
  return { values, unreadable, position };
}
