/**
 * Measures the exchange: bytes, messages and processor time per router against the number of routers and accounts. Routers
 * dispatch requests of random accounts; messages are encoded as records, as on the links. Prints one JSON line.
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
  /** Accounts that wait at all times; each waits at a few routers. */
  backlogged: 6,
  /** Routers at which an account is seen. */
  spread: 3,
  /** Dispatches per router and second. */
  requests: 10,
  period: 250,
  buckets: 64,
  skew: 1,
  seconds: 10,
  /** Ticks before the measurement. */
  warm: 40,
  seed: 1,
});

interface Node {
  id: string;
  zone: string;
  region: number;
  ledger: Ledger;
  exchange: ExchangeState;
  /** Accounts that callers use at this router, most used first. */
  accounts: string[];
  sentBytes: number;
  crossRegionBytes: number;
  messages: number;
  busyNs: number;
}

const hasher = await createHasher();
// Records whose key lists are known to both sides, as on the links.
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
const byId = new Map(nodes.map((node) => [node.id, node]));
nodes.forEach(({ exchange }) => {
  const routers = nodes.map(({ id, zone }) => ({ id, zone, address: '' }));
  reduceExchange(exchange, { kind: 'routers-changed', routers });
});

function seeAccounts(): void {
  for (let account = 0; account < options.accounts; account++) {
    const name = `account-${account}`;
    const first = random.below(nodes.length);
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

function timed(node: Node, action: () => void): void {
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

/** Dispatches the period's requests at one router, and settles those that end. */
function work(node: Node, tick: number): void {
  const due = (options.requests * options.period) / 1000;
  const count = Math.floor(due) + (random.next() < due % 1 ? 1 : 0);
  const zipf = createZipf(random, node.accounts.length, options.skew);
  for (let i = 0; i < count && node.accounts.length > 0; i++) {
    const account = node.accounts[zipf()] as string;
    const number = Number(account.slice('account-'.length));
    const pool = poolNames[number % options.pools] as string;
    // Start tags advance with time, as they do when the fleet serves fairly.
    advancePoolVirtualTime(node.ledger, pool, tick * options.period);
    chargeService(node.ledger, pool, account, ESTIMATE_MS);
    const endTick = tick + 1 + random.below(Math.ceil((2 * ESTIMATE_MS) / options.period));
    running.push({ node, pool, account, endTick });
  }
}

function settleEnded(tick: number): void {
  running
    .filter(({ endTick }) => endTick <= tick)
    .forEach(({ node, pool, account }) => {
      refundService(node.ledger, pool, account, 1 + random.below(ESTIMATE_MS));
    });
  running = running.filter(({ endTick }) => endTick > tick);
}

interface Sent {
  from: Node;
  to: Node;
  message: ExchangeMessage;
}

function countSent({ from, to, message }: Sent): void {
  const bytes = packr.pack(message).length;
  from.sentBytes += bytes;
  from.messages += 1;
  if (from.region !== to.region) from.crossRegionBytes += bytes;
}

function tickAll(tick: number): void {
  settleEnded(tick);
  const sent: Sent[] = [];
  nodes.forEach((node) => {
    work(node, tick);
    timed(node, () => {
      const event = { kind: 'tick', nowMs: tick * options.period } as const;
      reduceExchange(node.exchange, event).effects.forEach(({ to, message }) => {
        sent.push({ from: node, to: byId.get(to) as Node, message });
      });
    });
  });
  sent.forEach((envelope) => {
    countSent(envelope);
    const { from, to, message } = envelope;
    timed(to, () => {
      reduceExchange(to.exchange, { kind: 'message', from: from.id, message });
    });
  });
}

seeAccounts();
for (let tick = 1; tick <= options.warm; tick++) tickAll(tick);
nodes.forEach((node) =>
  Object.assign(node, { sentBytes: 0, crossRegionBytes: 0, messages: 0, busyNs: 0 }),
);
const ticks = Math.round((options.seconds * 1000) / options.period);
for (let tick = options.warm + 1; tick <= options.warm + ticks; tick++) tickAll(tick);

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
