/** Report of objects in the store that hold nothing this router can use. */
import { evictLeastRecentlyUsed, markRecentlyUsed } from '@kingcupsill/core/collections';
import { StoreKind } from '@kingcupsill/prepared-platform';
import type { StoreObject } from '@kingcupsill/prepared-platform';
import type { Logger } from '@kingcupsill/runtime';

/** Objects that have been reported. */
export interface UnreadableObjects {
  /** Counts an object that can't be read, and logs it once for each reason. */
  report(kind: StoreKind, object: StoreObject, message: string): void;
}

/** Options of the report. */
export interface UnreadableObjectsOptions {
  logger: Logger;
  /** Called each time that such an object is read. */
  onRead: (kind: StoreKind) => void;
}

const EVENTS: Partial<Record<StoreKind, string>> = {
  [StoreKind.Servers]: 'server-unreadable',
  [StoreKind.Routers]: 'router-unreadable',
};

/** Maximum number of objects of which a report is remembered; beyond it, the first ones are logged again. */
const MAX_REMEMBERED = 1024;
const MAX_LOGGED_NAME_LENGTH = 128;

/** Creates a report of no objects. */
export function createUnreadableObjects({
  logger,
  onRead,
}: UnreadableObjectsOptions): UnreadableObjects {
  const messages = new Map<string, string>();
  return {
    report(kind, { name, revision }, message) {
      onRead(kind);
      const loggedName = name.slice(0, MAX_LOGGED_NAME_LENGTH);
      const key = `${kind} ${loggedName}`;
      const isKnown = messages.get(key) === message;
      markRecentlyUsed(messages, key, message);
      evictLeastRecentlyUsed(messages, MAX_REMEMBERED);
      if (isKnown) return;
      logger.warn(EVENTS[kind] ?? 'object-unreadable', {
        kind,
        name: loggedName,
        revision,
        message,
      });
    },
  };
}
