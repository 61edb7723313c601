/** Link to the first reachable one of several routers; returns to a preferred one when it is reachable again. */
import { exponentialBackoffMs } from '@kingcupsill/core/backoff';
import { dialLink } from './dialed-link.js';
import type { DialedLink } from './dialed-link.js';
import type { LinkContext, LinkListener, LinkRole, LinkTarget } from './types.js';

/** Link that follows a list of candidates. */
export interface PreferredLink {
  /** Sets the candidates, best first. */
  setCandidates(candidates: readonly LinkTarget[]): void;
  /** Returns whether there is a candidate that is connected or hasn't failed yet. */
  hasHope(): boolean;
  /** Checks the connections and dials candidates that are due. */
  check(): void;
  close(): void;
}

/** Delays before a failed candidate is dialled again, doubling from the first to the longest. */
const REDIAL_DELAYS = { initialMs: 200, maxMs: 3000 };
/** Time for which a connection must last before its candidate's failures are forgotten. */
const STABLE_AFTER_MS = 3000;

interface Connection {
  target: LinkTarget;
  dialed: DialedLink;
  openedAtMs: number | undefined;
}

interface Failures {
  count: number;
  retryAtMs: number;
}

/** Creates a link without candidates. `onChanged` is called when a connection was opened or lost. */
export function createPreferredLink(
  ctx: LinkContext,
  role: LinkRole,
  listener: LinkListener,
  onChanged: () => void,
): PreferredLink {
  const connections = new Map<string, Connection>();
  const failuresByAddress = new Map<string, Failures>();
  let candidates: readonly LinkTarget[] = [];
  let closed = false;

  function recordFailure(address: string): void {
    const count = (failuresByAddress.get(address)?.count ?? 0) + 1;
    const retryAtMs = ctx.clock() + exponentialBackoffMs(count - 1, REDIAL_DELAYS);
    failuresByAddress.set(address, { count, retryAtMs });
  }

  function onEnded(connection: Connection): void {
    const { target, openedAtMs } = connection;
    if (connections.get(target.address) !== connection) return;
    connections.delete(target.address);
    if (openedAtMs !== undefined && ctx.clock() - openedAtMs > STABLE_AFTER_MS)
      failuresByAddress.delete(target.address);
    recordFailure(target.address);
    dialDue();
    onChanged();
  }

  function onOpen(connection: Connection): void {
    connection.openedAtMs = ctx.clock();
    const rank = candidates.findIndex(({ address }) => address === connection.target.address);
    candidates.slice(rank + 1).forEach(({ address }) => drop(address));
    onChanged();
  }

  function dial(target: LinkTarget): void {
    const openListener: LinkListener = {
      ...listener,
      onOpen(link) {
        listener.onOpen(link);
        onOpen(connection);
      },
    };
    const connection: Connection = {
      target,
      dialed: dialLink(ctx, target, role, openListener, () => onEnded(connection)),
      openedAtMs: undefined,
    };
    connections.set(target.address, connection);
  }

  function drop(address: string): void {
    const connection = connections.get(address);
    connections.delete(address);
    connection?.dialed.close();
  }

  /** Dials the best candidate that is due, unless it or a better one is connected or being dialled. */
  function dialDue(): void {
    if (closed) return;
    for (const target of candidates) {
      if (connections.has(target.address)) return;
      if ((failuresByAddress.get(target.address)?.retryAtMs ?? 0) <= ctx.clock()) {
        dial(target);
        return;
      }
    }
  }

  return {
    setCandidates(next) {
      candidates = next;
      const addresses = new Set(next.map(({ address }) => address));
      [...connections.keys()].filter((address) => !addresses.has(address)).forEach(drop);
      [...failuresByAddress.keys()]
        .filter((address) => !addresses.has(address))
        .forEach((address) => failuresByAddress.delete(address));
      dialDue();
    },
    hasHope: () =>
      [...connections.values()].some(({ openedAtMs }) => openedAtMs !== undefined) ||
      candidates.some(({ address }) => !failuresByAddress.has(address)),
    check() {
      connections.forEach(({ dialed }) => dialed.checkLiveness());
      dialDue();
    },
    close() {
      closed = true;
      [...connections.keys()].forEach(drop);
    },
  };
}
