/**
 * Measures bytes, messages and CPU time per router in the exchange of service totals, for given numbers of routers and accounts.
 * Routers dispatch requests of random accounts; messages are encoded as records, as on the links. Prints one JSON line.
 */
import { Packr } from 'msgpackr';

import type { ExchangeMessage, ExchangeState, Ledger } from '../../src/index.js';
import {
  advancePoolVirtualTime,
  chargeService,
  createExchange,
  createHasher,
  createLedger,
  reduceExchange,
  refundService,
  setWaiting,
} from '../../src/index.js';
import { numericOptions } from './options.js';
import type { Random } from './random.js';
import { createRandom, createZipf } from './random.js';

const options = numericOptions({
  routers: 3,
  zones: 3,
  regions: 3,
  accounts: 16,
  pools: 1,
  /** Number of accounts that always have queued requests, each at `spread` routers. */
  backlogged: 6,
  /** Number of routers that receive requests of an account. */
  spread: 3,
  /** Requests dispatched per router and second. */
  requests: 10,
  period: 250,
  buckets: 64,
  skew: 1,
  seconds: 10,
  /** Number of warm-up ticks before the measurement. */
  warm: 40,
  seed: 1,
});

interface Node {
  id: string;
  zone: string;
  region: number;
  ledger: Ledger;
  exchange: ExchangeState;
  /** Accounts with requests at this router, most frequent first. */
  accounts: string[];
  sentBytes: number;
  crossRegionBytes: number;
  messages: number;
  busyNs: number;
}

const hasher = await createHasher();
// Encodes messages as records, whose key lists both sides share, as on the links.
const packr = new Packr({ structures: [] });
const random: Random = createRandom(options.seed);
const poolNames = Array.from({ length: options.pools }, (_, i) => `pool-${i}`);

function createNode(index: number): Node {
  const id = `router-${index}`;
  const zoneIndex = index % options.zones;
  const zone = `zone-${zoneIndex}`;
  const ledger = createLedger({ lagBoundMs: 60_000 });
  const self = { id, zone, incarnation: `${id}#1` };
  const { buckets, period: periodMs } = options;
  const exchange = createExchange({ self, buckets, periodMs, hasher, ledger });
  const counts = { sentBytes: 0, crossRegionBytes: 0, messages: 0, busyNs: 0 };
  return {
    id,
    zone,
    region: zoneIndex % options.regions,
    ledger,
    exchange,
    accounts: [],
    ...counts,
  };
}

const nodes = Array.from({ length: options.routers }, (_, index) => createNode(index));
const nodeById = new Map(nodes.map((node) => [node.id, node]));
nodes.forEach(({ exchange }) => {
  const routers = nodes.map(({ id, zone }) => ({ id, zone, address: '' }));
  reduceExchange(exchange, { kind: 'routers-changed', routers });
});

function assignAccounts(): void {
  for (let account = 0; account < options.accounts; account++) {
    const name = `account-${account}`;
    const first = random.nextInt(nodes.length);
    for (let i = 0; i < Math.min(options.spread, nodes.length); i++) {
      const node = nodes[(first + i * 7) % nodes.length] as Node;
      if (node.accounts.includes(name)) continue;
      node.accounts.push(name);
      if (account < options.backlogged) {
        setWaiting(node.ledger, poolNames[account % options.pools] as string, name, true);
      }
    }
  }
}

function measureBusyTime(node: Node, action: () => void): void {
  const start = process.hrtime.bigint();
  action();
  node.busyNs += Number(process.hrtime.bigint() - start);
}

interface Running {
  node: Node;
  pool: string;
  account: string;
  endTick: number;
}

let running: Running[] = [];
const ESTIMATE_MS = 2000;

/** Dispatches the requests of one period at one router. */
function dispatchRequests(node: Node, tick: number): void {
  const expectedRequests = (options.requests * options.period) / 1000;
  const count = Math.floor(expectedRequests) + (random.next() < expectedRequests % 1 ? 1 : 0);
  const zipf = createZipf(random, node.accounts.length, options.skew);
  for (let i = 0; i < count && node.accounts.length > 0; i++) {
    const account = node.accounts[zipf()] as string;
    const accountIndex = Number(account.slice('account-'.length));
    const pool = poolNames[accountIndex % options.pools] as string;
    // The virtual time advances with the clock, as in a fleet that serves all accounts fairly.
    advancePoolVirtualTime(node.ledger, pool, tick * options.period);
    chargeService(node.ledger, pool, account, ESTIMATE_MS);
    const endTick = tick + 1 + random.nextInt(Math.ceil((2 * ESTIMATE_MS) / options.period));
    running.push({ node, pool, account, endTick });
  }
}

function settleEnded(tick: number): void {
  running
    .filter(({ endTick }) => endTick <= tick)
    .forEach(({ node, pool, account }) => {
      refundService(node.ledger, pool, account, 1 + random.nextInt(ESTIMATE_MS));
    });
  running = running.filter(({ endTick }) => endTick > tick);
}

interface SentMessage {
  from: Node;
  to: Node;
  message: ExchangeMessage;
}

function recordSent({ from, to, message }: SentMessage): void {
  const bytes = packr.pack(message).length;
  from.sentBytes += bytes;
  from.messages += 1;
  if (from.region !== to.region) from.crossRegionBytes += bytes;
}

function runTick(tick: number): void {
  settleEnded(tick);
  const sent: SentMessage[] = [];
  nodes.forEach((node) => {
    dispatchRequests(node, tick);
    measureBusyTime(node, () => {
      const event = { kind: 'tick', nowMs: tick * options.period } as const;
      reduceExchange(node.exchange, event).effects.forEach(({ to, message }) => {
        sent.push({ from: node, to: nodeById.get(to) as Node, message });
      });
    });
  });
  sent.forEach((sentMessage) => {
    recordSent(sentMessage);
    const { from, to, message } = sentMessage;
    measureBusyTime(to, () => {
      reduceExchange(to.exchange, { kind: 'message', from: from.id, message });
    });
  });
}

assignAccounts();
for (let tick = 1; tick <= options.warm; tick++) runTick(tick);
nodes.forEach((node) =>
  Object.assign(node, { sentBytes: 0, crossRegionBytes: 0, messages: 0, busyNs: 0 }),
);
const ticks = Math.round((options.seconds * 1000) / options.period);
for (let tick = options.warm + 1; tick <= options.warm + ticks; tick++) runTick(tick);

function perSecond(values: number[]): { mean: number; max: number } {
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length / options.seconds;
  return { mean: Math.round(mean), max: Math.round(Math.max(...values) / options.seconds) };
}

function isHome({ exchange, id, zone }: Node): boolean {
  return exchange.topology.homes.get(zone)?.includes(id) === true;
}

function corePercent(group: Node[]): number {
  if (group.length === 0) return 0;
  const ns = group.reduce((sum, { busyNs }) => sum + busyNs, 0) / group.length;
  return Number(((ns / (options.seconds * 1e9)) * 100).toFixed(3));
}

globalThis.gc?.();
const homes = nodes.filter(isHome);
const result = {
  ...options,
  bytesPerNode: perSecond(nodes.map(({ sentBytes }) => sentBytes)),
  crossRegionBytesPerNode: perSecond(nodes.map(({ crossRegionBytes }) => crossRegionBytes)),
  messagesPerNode: perSecond(nodes.map(({ messages }) => messages)),
  homes: homes.length,
  corePercentHome: corePercent(homes),
  corePercentOther: corePercent(nodes.filter((node) => !isHome(node))),
  heapMbPerNode: Number((process.memoryUsage().heapUsed / nodes.length / 1e6).toFixed(2)),
};
process.stdout.write(`${JSON.stringify(result)}\n`);
