/** Link to the first reachable one of several routers; returns to a preferred one when it is reachable again. */
import { createDialFailures } from './dial-failures.js';
import { dialReplaceableLink } from './replaceable-link.js';
import type { DialedLink, LinkContext, LinkListener, LinkRole, LinkTarget } from './types.js';

/** Link that follows a list of candidates. */
export interface PreferredLink {
  /** Sets the candidates, best first. */
  setCandidates(candidates: readonly LinkTarget[]): void;
  /** Returns whether a candidate is connected or hasn't failed yet. */
  mayConnect(): boolean;
  /** Checks the connections and dials candidates that are due. */
  check(): void;
  close(): void;
}

/** Time for which a connection must last before its candidate's failures are forgotten. */
const STABLE_AFTER_MS = 3000;

interface Connection {
  target: LinkTarget;
  /** Undefined only while it is being created. */
  dialed: DialedLink | undefined;
  openedAtMs: number | undefined;
}

/** Creates a link without candidates. `onChanged` is called when a connection was opened or lost. */
export function createPreferredLink(
  ctx: LinkContext,
  role: LinkRole,
  listener: LinkListener,
  onChanged: () => void,
): PreferredLink {
  const connections = new Map<string, Connection>();
  const failures = createDialFailures(ctx.clock);
  let candidates: readonly LinkTarget[] = [];
  let closed = false;

  function onEnded(connection: Connection): void {
    const { target, openedAtMs } = connection;
    if (connections.get(target.address) !== connection) return;
    connections.delete(target.address);
    if (openedAtMs !== undefined && ctx.clock() - openedAtMs > STABLE_AFTER_MS)
      failures.forget(target.address);
    failures.record(target.address);
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
    const connection: Connection = { target, dialed: undefined, openedAtMs: undefined };
    const openListener: LinkListener = {
      ...listener,
      onOpen(link) {
        listener.onOpen(link);
        onOpen(connection);
      },
    };
    connections.set(target.address, connection);
    connection.dialed = dialReplaceableLink(ctx, target, role, openListener, () =>
      onEnded(connection),
    );
  }

  function drop(address: string): void {
    const connection = connections.get(address);
    connections.delete(address);
    connection?.dialed?.close();
  }

  /** Dials the best candidate that is due, unless it or a better one is connected or being dialled. */
  function dialDue(): void {
    if (closed) return;
    for (const target of candidates) {
      if (connections.has(target.address)) return;
      if (failures.isDue(target.address)) {
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
      failures.retain(addresses);
      dialDue();
    },
    mayConnect: () =>
      [...connections.values()].some(({ openedAtMs }) => openedAtMs !== undefined) ||
      candidates.some(({ address }) => !failures.has(address)),
    check() {
      connections.forEach(({ dialed }) => dialed?.checkLiveness());
      dialDue();
    },
    close() {
      closed = true;
      [...connections.keys()].forEach(drop);
    },
  };
}
