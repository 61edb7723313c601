/** Exchanges of several routers joined by a message list, for tests and measurements. Seeded and without clocks. */
import type {
  ExchangeMessage,
  ExchangeRouter,
  ExchangeState,
  Hasher,
  Ledger,
} from '../../src/index.js';
import { createExchange, createLedger, reduceExchange } from '../../src/index.js';

const LAG_BOUND_MS = 60_000;

export interface NetworkNode {
  id: string;
  zone: string;
  incarnation: string;
  ledger: Ledger;
  exchange: ExchangeState;
}

export interface Envelope {
  from: string;
  to: string;
  message: ExchangeMessage;
}

export interface Network {
  hasher: Hasher;
  buckets: number;
  periodMs: number;
  nowMs: number;
  nodes: Map<string, NetworkNode>;
  /** Messages under way, oldest first. */
  messages: Envelope[];
  starts: number;
}

export function createNetwork(hasher: Hasher, buckets: number, periodMs: number): Network {
  return { hasher, buckets, periodMs, nowMs: 0, nodes: new Map(), messages: [], starts: 0 };
}

/** Starts a router with empty state, also in place of a former run of the same id. */
export function startNode(network: Network, id: string, zone: string): NetworkNode {
  network.starts += 1;
  const incarnation = `${id}#${network.starts}`;
  const ledger = createLedger({ lagBoundMs: LAG_BOUND_MS });
  const { hasher, buckets, periodMs } = network;
  const self = { id, zone, incarnation };
  const exchange = createExchange({ self, buckets, periodMs, hasher, ledger });
  const node = { id, zone, incarnation, ledger, exchange };
  network.nodes.set(id, node);
  return node;
}

/** Tells one router which routers are live. */
export function tellRouters(network: Network, node: NetworkNode): void {
  const routers: ExchangeRouter[] = [...network.nodes.values()].map(({ id, zone }) => ({
    id,
    zone,
    address: '',
  }));
  reduceExchange(node.exchange, { kind: 'routers-changed', routers });
}

export function tellAll(network: Network): void {
  network.nodes.forEach((node) => tellRouters(network, node));
}

/** Ticks one router and puts its messages under way. */
export function tickNode(network: Network, node: NetworkNode): Envelope[] {
  const event = { kind: 'tick', nowMs: network.nowMs } as const;
  const { effects } = reduceExchange(node.exchange, event);
  const sent = effects.map(({ to, message }) => ({
    from: node.id,
    to,
    message: structuredClone(message),
  }));
  network.messages.push(...sent);
  return sent;
}

/** Hands a message over, if its receiver runs. */
export function deliver(network: Network, { from, to, message }: Envelope): void {
  const node = network.nodes.get(to);
  if (node === undefined) return;
  reduceExchange(node.exchange, { kind: 'message', from, message: structuredClone(message) });
}

/** One period without faults: every router ticks, every message arrives. Returns the number of messages sent. */
export function quietRound(network: Network): number {
  network.nowMs += network.periodMs;
  let sent = 0;
  network.nodes.forEach((node) => {
    sent += tickNode(network, node).length;
  });
  const { messages } = network;
  network.messages = [];
  messages.forEach((envelope) => deliver(network, envelope));
  return sent;
}

/** Silent rounds in a row after which nothing is left to send again. */
const SILENT_ROUNDS = 6;

/** Rounds until nothing more is sent. Returns the number of rounds, at most `limit`. */
export function settle(network: Network, limit = 60): number {
  let silent = 0;
  for (let round = 0; round < limit; round++) {
    silent = quietRound(network) === 0 ? silent + 1 : 0;
    if (silent === SILENT_ROUNDS) return round;
  }
  return limit;
}
