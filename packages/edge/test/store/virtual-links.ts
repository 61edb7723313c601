/** Connections between routers under virtual time, which go silent for good while new ones work. */
import type { Clock } from '@kingcupsill/runtime';
import { createLiveness } from '../../src/peers/liveness.js';
import { LINK_TIMEOUT_MS } from '../../src/peers/types.js';
import type { DialLink, LinkListener, LinkRole, OpenLink } from '../../src/peers/types.js';

const HANDSHAKE_TIMEOUT_MS = 1000;

export interface VirtualConnection {
  isSilent: boolean;
  /** Names of the two routers. */
  ends: readonly string[];
}

/** Accepting side of one connection. */
interface Peer {
  role: LinkRole;
  router: string;
  link: OpenLink;
  lastTrafficMs: number;
  /** Tells the other side, unless the connection is silent. */
  end(): void;
}

/** Listener of one router, with the rules of `incoming.ts`. */
function createAcceptor(
  clock: Clock,
  accepts: (role: LinkRole) => boolean,
  listeners: Record<LinkRole, LinkListener>,
) {
  const peers = new Set<Peer>();

  function remove(peer: Peer): void {
    if (peers.delete(peer)) listeners[peer.role].onClosed(peer.link);
  }

  function end(peer: Peer): void {
    remove(peer);
    peer.end();
  }

  return {
    accepts,
    add(peer: Peer): void {
      peers.forEach((earlier) => {
        if (earlier.role === peer.role && earlier.router === peer.router) end(earlier);
      });
      peers.add(peer);
      listeners[peer.role].onOpen(peer.link);
    },
    remove,
    receive(peer: Peer, bytes?: Buffer): void {
      if (!peers.has(peer)) return;
      peer.lastTrafficMs = clock();
      if (bytes !== undefined) listeners[peer.role].onMessage(peer.link, bytes);
    },
    check(): void {
      peers.forEach((peer) => {
        const isTimedOut = clock() - peer.lastTrafficMs > LINK_TIMEOUT_MS;
        if (isTimedOut || !accepts(peer.role)) end(peer);
      });
    },
  };
}

type Acceptor = ReturnType<typeof createAcceptor>;

/** @param latencyMs one-way delay between two routers */
export function createVirtualNetwork(
  clock: Clock,
  latencyMs: (from: string, to: string) => number,
) {
  const acceptors = new Map<string, Acceptor>();
  const connections = new Set<VirtualConnection>();

  const dial: DialLink = ({ self, nextLinkNumber }, target, role, listener, onEnded) => {
    const connection: VirtualConnection = { isSilent: false, ends: [self, target.name] };
    const liveness = createLiveness(clock);
    const delayMs = latencyMs(self, target.name);
    let isEnded = false;
    let peer: Peer | undefined;
    let acceptor: Acceptor | undefined;
    const carry = (deliver: () => void): void => {
      setTimeout(() => {
        if (!connection.isSilent && !isEnded) deliver();
      }, delayMs);
    };

    const link: OpenLink = {
      key: `to-${role}:${target.name}#${nextLinkNumber()}`,
      send(bytes) {
        carry(() => acceptor!.receive(peer!, bytes));
        return true;
      },
      close: () => end(),
    };

    function end(): void {
      if (isEnded) return;
      isEnded = true;
      connections.delete(connection);
      const [ended, accepting] = [peer, acceptor];
      if (ended !== undefined) listener.onClosed(link);
      if (ended !== undefined && !connection.isSilent)
        setTimeout(() => accepting!.remove(ended), delayMs);
      onEnded();
    }

    function open(): void {
      acceptor = acceptors.get(target.address);
      if (isEnded) return;
      if (acceptor === undefined) {
        setTimeout(end, HANDSHAKE_TIMEOUT_MS);
        return;
      }
      if (!acceptor.accepts(role)) {
        end();
        return;
      }
      connections.add(connection);
      const send = (bytes: Buffer): boolean => {
        carry(() => {
          liveness.recordTraffic();
          listener.onMessage(link, bytes);
        });
        return true;
      };
      const key = `from-${role}:${self}#${link.key}`;
      const accepted = { key, send, close: () => carry(end) };
      peer = { role, router: self, link: accepted, lastTrafficMs: clock(), end: () => carry(end) };
      acceptor.add(peer);
      liveness.recordTraffic();
      listener.onOpen(link);
    }

    setTimeout(open, 3 * delayMs);
    return {
      checkLiveness() {
        if (liveness.isTimedOut()) end();
        else if (peer !== undefined) {
          liveness.recordPing();
          carry(() => {
            acceptor!.receive(peer!);
            carry(liveness.recordTraffic);
          });
        }
      },
      isQuiet: () => peer !== undefined && liveness.isQuiet(),
      close: end,
    };
  };

  return {
    dial,
    connections: (): readonly VirtualConnection[] => [...connections],
    listen(
      address: string,
      accepts: (role: LinkRole) => boolean,
      listeners: Record<LinkRole, LinkListener>,
    ): Acceptor {
      const acceptor = createAcceptor(clock, accepts, listeners);
      acceptors.set(address, acceptor);
      return acceptor;
    },
    /** A machine loses power: its connections deliver nothing any more, and new ones get no answer. */
    losePower(name: string, address: string): void {
      acceptors.delete(address);
      connections.forEach((connection) => {
        if (connection.ends.includes(name)) connection.isSilent = true;
      });
    },
  };
}
