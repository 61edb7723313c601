/**
 * Seeded event sequences over the decision functions: routers with ledgers and exchanges, sidecars with grant orders, and
 * messages as a list of deliveries. Every account waits all the time, so the service gap is that of backlogged accounts.
 */
import type {
  Correction,
  Distance,
  ExchangeState,
  GrantCandidate,
  GrantScheduler,
  Hasher,
  Ledger,
} from '../../src/index.js';
import {
  advancePoolVirtualTime,
  chargeService,
  chooseGrant,
  createExchange,
  createGrantScheduler,
  createLedger,
  getAccountVirtualTimeMs,
  recordGrant,
  recordVirtualTimeReport,
  reduceExchange,
  refundService,
  setWaiting,
} from '../../src/index.js';
import type { Random } from '../measure/random.js';
import { createRandom } from '../measure/random.js';

const POOL = 'pool';
const STEP_MS = 5;

/** Who decides which account a free slot serves. */
export type Policy = 'fair' | 'oracle' | 'first-come';

export interface FleetOptions {
  policy: Policy;
  correction: Correction;
  routers: number;
  sidecars: number;
  slotsPerSidecar: number;
  /** Shares of the accounts. */
  shares: number[];
  /** Requests of each account per request of the first; decides in `first-come`. */
  arrivalWeights: number[];
  /** Routers at which each account waits. */
  routersPerAccount: number;
  meanRequestMs: number;
  largestRequestMs: number;
  /** Estimates are off by up to this factor either way. */
  maxEstimateErrorFactor: number;
  exchangePeriodMs: number;
  demandPeriodMs: number;
  messageDelayMs: number;
  durationMs: number;
  seed: number;
  /** Whether some routers are far away and some requests hit the prefix cache. */
  locality: boolean;
}

export interface FleetResult {
  /** Largest difference in service over share of any two accounts over any interval, in slot milliseconds. */
  gapMs: number;
  /** Running requests over slots, after the first second. */
  utilisation: number;
  /** Share of requests dispatched to a sidecar in the router's own zone. */
  sameZoneFraction: number;
  /** Service over share of each account. */
  served: number[];
}

interface Router {
  id: string;
  ledger: Ledger;
  exchange: ExchangeState;
  accounts: number[];
}

interface Sidecar {
  index: number;
  order: GrantScheduler;
  candidates: Map<string, GrantCandidate>;
  free: number;
}

interface Request {
  account: number;
  sizeMs: number;
  estimateMs: number;
}

interface Fleet {
  options: FleetOptions;
  random: Random;
  nowMs: number;
  deliveries: Map<number, (() => void)[]>;
  routers: Router[];
  sidecars: Sidecar[];
  running: number[];
  served: number[];
  sameZone: number;
  dispatched: number;
}

const nameOf = (account: number): string => `account-${account}`;
const indexOf = (account: string): number => Number(account.slice('account-'.length));

function later(fleet: Fleet, delayMs: number, run: () => void): void {
  const atMs = Math.ceil((fleet.nowMs + Math.max(delayMs, STEP_MS)) / STEP_MS) * STEP_MS;
  const due = fleet.deliveries.get(atMs) ?? [];
  due.push(run);
  fleet.deliveries.set(atMs, due);
}

function createRouters(options: FleetOptions, hasher: Hasher): Router[] {
  const ids = Array.from({ length: options.routers }, (_, index) => `router-${index}`);
  const live = ids.map((id) => ({ id, zone: id, address: '' }));
  return ids.map((id, index) => {
    const ledger = createLedger({ lagBoundMs: 600_000 });
    const self = { id, zone: id, incarnation: id };
    const periodMs = options.exchangePeriodMs;
    const exchange = createExchange({ self, buckets: 16, periodMs, hasher, ledger });
    reduceExchange(exchange, { kind: 'routers-changed', routers: live });
    const accounts = options.shares
      .map((_, account) => account)
      .filter((account) => (index + account) % options.routers < options.routersPerAccount);
    accounts.forEach((account) => setWaiting(ledger, POOL, nameOf(account), true));
    return { id, ledger, exchange, accounts };
  });
}

function createFleet(options: FleetOptions, hasher: Hasher): Fleet {
  const { correction, slotsPerSidecar: ownSlots, sidecars } = options;
  const fleetSlots = ownSlots * sidecars;
  return {
    options,
    random: createRandom(options.seed),
    nowMs: 0,
    deliveries: new Map(),
    routers: createRouters(options, hasher),
    sidecars: Array.from({ length: sidecars }, (_, index) => ({
      index,
      order: createGrantScheduler({ correction, ownSlots, fleetSlots }),
      candidates: new Map(),
      free: ownSlots,
    })),
    running: options.shares.map(() => 0),
    served: options.shares.map(() => 0),
    sameZone: 0,
    dispatched: 0,
  };
}

function drawRequest({ random, options }: Fleet, account: number): Request {
  const drawnMs = -Math.log(1 - random.next()) * options.meanRequestMs;
  const sizeMs = Math.max(STEP_MS, Math.min(options.largestRequestMs, drawnMs));
  const error = options.maxEstimateErrorFactor ** (2 * random.next() - 1);
  return { account, sizeMs, estimateMs: options.meanRequestMs * error };
}

function settle(ledger: Ledger, { account, sizeMs, estimateMs }: Request): void {
  chargeService(ledger, POOL, nameOf(account), sizeMs - estimateMs);
  refundService(ledger, POOL, nameOf(account), estimateMs - sizeMs);
}

function start(fleet: Fleet, sidecar: Sidecar, router: Router, request: Request): void {
  const { account, sizeMs } = request;
  fleet.running[account] = (fleet.running[account] as number) + 1;
  later(fleet, sizeMs, () => {
    fleet.running[account] = (fleet.running[account] as number) - 1;
    sidecar.free += 1;
    later(fleet, fleet.options.messageDelayMs, () => settle(router.ledger, request));
  });
}

function dispatch(fleet: Fleet, router: Router, request: Request): void {
  const name = nameOf(request.account);
  const share = fleet.options.shares[request.account] as number;
  advancePoolVirtualTime(
    router.ledger,
    POOL,
    getAccountVirtualTimeMs(router.ledger, POOL, name, share),
  );
  chargeService(router.ledger, POOL, name, request.estimateMs);
}

function distanceOf(fleet: Fleet, sidecar: Sidecar, router: Router): Distance {
  const home = fleet.routers[sidecar.index % fleet.routers.length];
  return home === router ? 'same-zone' : 'other-region';
}

function grantFair(fleet: Fleet, sidecar: Sidecar): boolean {
  const { options, random, nowMs } = fleet;
  const candidates = [...sidecar.candidates.values()].map((candidate) => ({
    ...candidate,
    distance: options.locality ? candidate.distance : ('same-zone' as const),
    prefixHit: options.locality && random.next() < 0.3,
  }));
  const chosen = chooseGrant(sidecar.order, candidates, nowMs);
  if (chosen === undefined) return false;
  const request = drawRequest(fleet, indexOf(chosen.account));
  const router = fleet.routers.find(({ id }) => id === chosen.router) as Router;
  const { router: to, account } = chosen;
  const share = options.shares[request.account] as number;
  recordGrant(sidecar.order, { router: to, account, estimateMs: request.estimateMs, share }, nowMs);
  fleet.dispatched += 1;
  if (distanceOf(fleet, sidecar, router) === 'same-zone') fleet.sameZone += 1;
  later(fleet, options.messageDelayMs, () => dispatch(fleet, router, request));
  later(fleet, 2 * options.messageDelayMs, () => start(fleet, sidecar, router, request));
  return true;
}

function leastServed({ options, routers }: Fleet): number {
  const { ledger } = routers[0] as Router;
  const times = options.shares.map((share, account) =>
    getAccountVirtualTimeMs(ledger, POOL, nameOf(account), share),
  );
  return times.indexOf(Math.min(...times));
}

function nextArrived({ options, random }: Fleet): number {
  const total = options.arrivalWeights.reduce((sum, weight) => sum + weight, 0);
  let target = random.next() * total;
  return options.arrivalWeights.findIndex((weight) => {
    target -= weight;
    return target < 0;
  });
}

/** The baselines see all that waits, without delay. */
function grantCentral(fleet: Fleet, sidecar: Sidecar, account: number): boolean {
  const router = fleet.routers[0] as Router;
  const request = drawRequest(fleet, account);
  dispatch(fleet, router, request);
  start(fleet, sidecar, router, request);
  return true;
}

const GRANTS: Record<Policy, (fleet: Fleet, sidecar: Sidecar) => boolean> = {
  fair: grantFair,
  oracle: (fleet, sidecar) => grantCentral(fleet, sidecar, leastServed(fleet)),
  'first-come': (fleet, sidecar) => grantCentral(fleet, sidecar, nextArrived(fleet)),
};

function sendDemand(fleet: Fleet, router: Router): void {
  const { shares, messageDelayMs } = fleet.options;
  router.accounts.forEach((index) => {
    const account = nameOf(index);
    const timeMs = getAccountVirtualTimeMs(router.ledger, POOL, account, shares[index] as number);
    fleet.sidecars.forEach((sidecar) => {
      later(fleet, messageDelayMs, () => {
        const report = { router: router.id, account, virtualTimeMs: timeMs };
        recordVirtualTimeReport(
          sidecar.order,
          { ...report, roundTripMs: 2 * messageDelayMs },
          fleet.nowMs,
        );
        const distance = distanceOf(fleet, sidecar, router);
        const rest = { waiting: 1000, oldestWaitMs: 0, distance, prefixHit: false };
        sidecar.candidates.set(`${router.id} ${account}`, { ...report, ...rest });
      });
    });
  });
}

function tickExchange(fleet: Fleet, router: Router): void {
  const event = { kind: 'tick', nowMs: fleet.nowMs } as const;
  reduceExchange(router.exchange, event).effects.forEach(({ to, message }) => {
    const receiver = fleet.routers.find(({ id }) => id === to) as Router;
    later(fleet, fleet.options.messageDelayMs, () => {
      reduceExchange(receiver.exchange, { kind: 'message', from: router.id, message });
    });
  });
}

function runDue(fleet: Fleet): void {
  const due = fleet.deliveries.get(fleet.nowMs) ?? [];
  fleet.deliveries.delete(fleet.nowMs);
  due.forEach((run) => run());
}

function step(fleet: Fleet): void {
  const { options, nowMs } = fleet;
  runDue(fleet);
  fleet.routers.forEach((router, index) => {
    tickExchange(fleet, router);
    if ((nowMs + index * STEP_MS) % options.demandPeriodMs === 0) sendDemand(fleet, router);
  });
  fleet.sidecars.forEach((sidecar) => {
    while (sidecar.free > 0 && GRANTS[options.policy](fleet, sidecar)) sidecar.free -= 1;
  });
  fleet.running.forEach((count, account) => {
    const ms = (count * STEP_MS) / (options.shares[account] as number);
    fleet.served[account] = (fleet.served[account] as number) + ms;
  });
  fleet.nowMs += STEP_MS;
}

/** Tracks the largest change of the difference in service of every two accounts. */
function createGapMeter(accounts: number) {
  const least = new Float64Array(accounts * accounts);
  let gapMs = 0;
  return {
    gapMs: () => gapMs,
    observe: (served: number[]) => {
      served.forEach((a, i) =>
        served.forEach((b, j) => {
          const pair = i * accounts + j;
          least[pair] = Math.min(least[pair] as number, a - b);
          gapMs = Math.max(gapMs, a - b - least[pair]);
        }),
      );
    },
  };
}

const WARM_UP_MS = 1000;

/** Runs one event sequence. The same options give the same result. */
export function runFleet(options: FleetOptions, hasher: Hasher): FleetResult {
  const fleet = createFleet(options, hasher);
  const meter = createGapMeter(options.shares.length);
  const slots = options.sidecars * options.slotsPerSidecar;
  let busy = 0;
  let steps = 0;
  while (fleet.nowMs < options.durationMs) {
    step(fleet);
    meter.observe(fleet.served);
    if (fleet.nowMs >= WARM_UP_MS) {
      busy += fleet.running.reduce((sum, count) => sum + count, 0);
      steps += 1;
    }
  }
  return {
    gapMs: Math.round(meter.gapMs()),
    utilisation: Number((busy / (slots * steps)).toFixed(4)),
    sameZoneFraction: Number((fleet.sameZone / Math.max(1, fleet.dispatched)).toFixed(3)),
    served: fleet.served.map(Math.round),
  };
}

/** Three zones with a router each, eight backend servers and 16 accounts, a few of them large. */
export const DEFAULT_FLEET: FleetOptions = {
  policy: 'fair',
  correction: 'scaled',
  routers: 3,
  sidecars: 8,
  slotsPerSidecar: 4,
  shares: [4, 3, 2, 2, ...new Array<number>(12).fill(1)],
  arrivalWeights: [20, ...new Array<number>(15).fill(1)],
  routersPerAccount: 2,
  meanRequestMs: 1500,
  largestRequestMs: 8000,
  maxEstimateErrorFactor: 2,
  exchangePeriodMs: 250,
  demandPeriodMs: 50,
  messageDelayMs: 5,
  durationMs: 60_000,
  seed: 1,
  locality: false,
};

/** Largest gap that the policy may show: twice the largest request and what the fleet serves in a period. */
export function gapBoundMs(options: FleetOptions): number {
  const { largestRequestMs, sidecars, slotsPerSidecar, exchangePeriodMs } = options;
  return 2 * (largestRequestMs + sidecars * slotsPerSidecar * exchangePeriodMs);
}
