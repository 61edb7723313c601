/** The open links of one server or dialer. */
import type { Link } from '../types.js';
import { createLink } from './create-link.js';
import type { OpenedConnection } from './create-link.js';
import type { ResolvedOptions } from './options.js';

/** Open links, which leave the set when they close. */
export interface LinkSet {
  open(connection: OpenedConnection, onClosed?: () => void): Link;
  list(): Link[];
  closeAll(reason: string): void;
}

/** Creates an empty set. */
export function createLinkSet(options: ResolvedOptions): LinkSet {
  const links = new Set<Link>();
  return {
    open(connection, onClosed) {
      const link = createLink(connection, options, (gone) => {
        links.delete(gone);
        onClosed?.();
      });
      links.add(link);
      options.handlers.onOpen(link);
      return link;
    },
    list: () => [...links],
    closeAll: (reason) => [...links].forEach((link) => link.close(reason)),
  };
}
