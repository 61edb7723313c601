/** Simulated network of router exchanges with a list of messages in flight. Deterministic; time advances only explicitly. */
import type {
  ExchangeMessage,
  ExchangeRouter,
  ExchangeState,
  Hasher,
  Ledger,
} from '../../src/index.js';
import { createExchange, createLedger, reduceExchange } from '../../src/index.js';

const LAG_BOUND_MS = 60_000;

/** A simulated router. */
export interface NetworkNode {
  id: string;
  zone: string;
  incarnation: string;
  ledger: Ledger;
  exchange: ExchangeState;
}

/** A message with its sender and receiver. */
export interface Envelope {
  from: string;
  to: string;
  message: ExchangeMessage;
}

/** State of the simulated network. */
export interface Network {
  hasher: Hasher;
  buckets: number;
  periodMs: number;
  nowMs: number;
  nodes: Map<string, NetworkNode>;
  /** Messages in flight, oldest first. */
  messages: Envelope[];
  /** Number of router starts, used to create unique incarnations. */
  startCount: number;
}

/** Creates a network without routers. */
export function createNetwork(hasher: Hasher, buckets: number, periodMs: number): Network {
  return { hasher, buckets, periodMs, nowMs: 0, nodes: new Map(), messages: [], startCount: 0 };
}

/** Starts a router with empty state, replacing a previous run with the same id. */
export function startNode(network: Network, id: string, zone: string): NetworkNode {
  network.startCount += 1;
  const incarnation = `${id}#${network.startCount}`;
  const ledger = createLedger({ lagBoundMs: LAG_BOUND_MS });
  const { hasher, buckets, periodMs } = network;
  const self = { id, zone, incarnation };
  const exchange = createExchange({ self, buckets, periodMs, hasher, ledger });
  const node = { id, zone, incarnation, ledger, exchange };
  network.nodes.set(id, node);
  return node;
}

/** Applies the current set of live routers to one router. */
export function announceRouters(network: Network, node: NetworkNode): void {
  const routers: ExchangeRouter[] = [...network.nodes.values()].map(({ id, zone }) => ({
    id,
    zone,
    address: '',
  }));
  reduceExchange(node.exchange, { kind: 'routers-changed', routers });
}

/** Applies the current set of live routers to all routers. */
export function announceRoutersToAll(network: Network): void {
  network.nodes.forEach((node) => announceRouters(network, node));
}

/** Ticks one router and adds its messages to the network. Returns these messages. */
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

/** Delivers a message if its receiver is running. */
export function deliver(network: Network, { from, to, message }: Envelope): void {
  const node = network.nodes.get(to);
  if (node === undefined) return;
  reduceExchange(node.exchange, { kind: 'message', from, message: structuredClone(message) });
}

/** Runs one period without faults: ticks every router and delivers every message. Returns the number of messages sent. */
export function runFaultFreeRound(network: Network): number {
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

/** Number of consecutive rounds without messages after which no retransmission is outstanding. */
const IDLE_ROUNDS = 6;

/** Runs fault-free rounds until nothing is sent any more. Returns the number of rounds, at most `maxRounds`. */
export function runUntilIdle(network: Network, maxRounds = 60): number {
  let idleRounds = 0;
  for (let round = 0; round < maxRounds; round++) {
    idleRounds = runFaultFreeRound(network) === 0 ? idleRounds + 1 : 0;
    if (idleRounds === IDLE_ROUNDS) return round;
  }
  return maxRounds;
}
