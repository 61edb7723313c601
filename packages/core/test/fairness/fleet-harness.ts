/**
 * Simulates a fleet with seeded event sequences: routers with ledgers and exchanges, sidecars with grant schedulers, and messages
 * as scheduled deliveries. All accounts are backlogged at all times, so the service gap is that of backlogged accounts.
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

/** Policy that selects the account for a free slot; `oracle` and `first-come` are baselines with global knowledge. */
export type Policy = 'fair' | 'oracle' | 'first-come';

/** Options of a simulated fleet. Times are in milliseconds. */
export interface FleetOptions {
  policy: Policy;
  correction: Correction;
  routers: number;
  sidecars: number;
  slotsPerSidecar: number;
  /** Share of each account. */
  shares: number[];
  /** Relative arrival rate of each account's requests; used only by `first-come`. */
  arrivalWeights: number[];
  /** Number of routers at which each account is backlogged. */
  routersPerAccount: number;
  meanRequestMs: number;
  largestRequestMs: number;
  /** Maximum factor by which estimates are too high or too low. */
  maxEstimateErrorFactor: number;
  exchangePeriodMs: number;
  demandPeriodMs: number;
  messageDelayMs: number;
  durationMs: number;
  seed: number;
  /** Whether to simulate distant routers and prefix cache hits. */
  locality: boolean;
}

/** Results of a simulated run. */
export interface FleetResult {
  /** Largest difference between the normalized service of any two accounts over any interval, in slot milliseconds. */
  gapMs: number;
  /** Mean fraction of busy slots after the warm-up. */
  utilisation: number;
  /** Fraction of requests dispatched to a sidecar in the router's own zone. */
  sameZoneFraction: number;
  /** Service divided by share of each account, in slot milliseconds. */
  normalizedServiceMs: number[];
}

interface Router {
  id: string;
  ledger: Ledger;
  exchange: ExchangeState;
  accounts: number[];
}

interface Sidecar {
  index: number;
  scheduler: GrantScheduler;
  candidates: Map<string, GrantCandidate>;
  freeSlots: number;
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
  runningByAccount: number[];
  normalizedServiceMs: number[];
  sameZoneCount: number;
  dispatchedCount: number;
}

const accountName = (account: number): string => `account-${account}`;
const accountIndex = (account: string): number => Number(account.slice('account-'.length));

function schedule(fleet: Fleet, delayMs: number, action: () => void): void {
  const atMs = Math.ceil((fleet.nowMs + Math.max(delayMs, STEP_MS)) / STEP_MS) * STEP_MS;
  const due = fleet.deliveries.get(atMs) ?? [];
  due.push(action);
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
    accounts.forEach((account) => setWaiting(ledger, POOL, accountName(account), true));
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
      scheduler: createGrantScheduler({ correction, ownSlots, fleetSlots }),
      candidates: new Map(),
      freeSlots: ownSlots,
    })),
    runningByAccount: options.shares.map(() => 0),
    normalizedServiceMs: options.shares.map(() => 0),
    sameZoneCount: 0,
    dispatchedCount: 0,
  };
}

function drawRequest({ random, options }: Fleet, account: number): Request {
  const drawnMs = -Math.log(1 - random.next()) * options.meanRequestMs;
  const sizeMs = Math.max(STEP_MS, Math.min(options.largestRequestMs, drawnMs));
  const error = options.maxEstimateErrorFactor ** (2 * random.next() - 1);
  return { account, sizeMs, estimateMs: options.meanRequestMs * error };
}

function settleCharge(ledger: Ledger, { account, sizeMs, estimateMs }: Request): void {
  chargeService(ledger, POOL, accountName(account), sizeMs - estimateMs);
  refundService(ledger, POOL, accountName(account), estimateMs - sizeMs);
}

function startRequest(fleet: Fleet, sidecar: Sidecar, router: Router, request: Request): void {
  const { account, sizeMs } = request;
  fleet.runningByAccount[account] = (fleet.runningByAccount[account] as number) + 1;
  schedule(fleet, sizeMs, () => {
    fleet.runningByAccount[account] = (fleet.runningByAccount[account] as number) - 1;
    sidecar.freeSlots += 1;
    schedule(fleet, fleet.options.messageDelayMs, () => settleCharge(router.ledger, request));
  });
}

function dispatch(fleet: Fleet, router: Router, request: Request): void {
  const name = accountName(request.account);
  const share = fleet.options.shares[request.account] as number;
  advancePoolVirtualTime(
    router.ledger,
    POOL,
    getAccountVirtualTimeMs(router.ledger, POOL, name, share),
  );
  chargeService(router.ledger, POOL, name, request.estimateMs);
}

function distanceBetween(fleet: Fleet, sidecar: Sidecar, router: Router): Distance {
  const localRouter = fleet.routers[sidecar.index % fleet.routers.length];
  return localRouter === router ? 'same-zone' : 'other-region';
}

function grantFair(fleet: Fleet, sidecar: Sidecar): boolean {
  const { options, random, nowMs } = fleet;
  const candidates = [...sidecar.candidates.values()].map((candidate) => ({
    ...candidate,
    distance: options.locality ? candidate.distance : ('same-zone' as const),
    prefixHit: options.locality && random.next() < 0.3,
  }));
  const chosen = chooseGrant(sidecar.scheduler, candidates, nowMs);
  if (chosen === undefined) return false;
  const request = drawRequest(fleet, accountIndex(chosen.account));
  const router = fleet.routers.find(({ id }) => id === chosen.router) as Router;
  const { router: routerId, account } = chosen;
  const share = options.shares[request.account] as number;
  recordGrant(
    sidecar.scheduler,
    { router: routerId, account, estimateMs: request.estimateMs, share },
    nowMs,
  );
  fleet.dispatchedCount += 1;
  if (distanceBetween(fleet, sidecar, router) === 'same-zone') fleet.sameZoneCount += 1;
  schedule(fleet, options.messageDelayMs, () => dispatch(fleet, router, request));
  schedule(fleet, 2 * options.messageDelayMs, () => startRequest(fleet, sidecar, router, request));
  return true;
}

function leastServedAccount({ options, routers }: Fleet): number {
  const { ledger } = routers[0] as Router;
  const times = options.shares.map((share, account) =>
    getAccountVirtualTimeMs(ledger, POOL, accountName(account), share),
  );
  return times.indexOf(Math.min(...times));
}

function drawArrivingAccount({ options, random }: Fleet): number {
  const total = options.arrivalWeights.reduce((sum, weight) => sum + weight, 0);
  let remaining = random.next() * total;
  return options.arrivalWeights.findIndex((weight) => {
    remaining -= weight;
    return remaining < 0;
  });
}

/** Grants a slot for a baseline policy, which has no message delay and selects among all queued requests. */
function grantCentrally(fleet: Fleet, sidecar: Sidecar, account: number): boolean {
  const router = fleet.routers[0] as Router;
  const request = drawRequest(fleet, account);
  dispatch(fleet, router, request);
  startRequest(fleet, sidecar, router, request);
  return true;
}

const GRANT_BY_POLICY: Record<Policy, (fleet: Fleet, sidecar: Sidecar) => boolean> = {
  fair: grantFair,
  oracle: (fleet, sidecar) => grantCentrally(fleet, sidecar, leastServedAccount(fleet)),
  'first-come': (fleet, sidecar) => grantCentrally(fleet, sidecar, drawArrivingAccount(fleet)),
};

function sendDemand(fleet: Fleet, router: Router): void {
  const { shares, messageDelayMs } = fleet.options;
  router.accounts.forEach((index) => {
    const account = accountName(index);
    const timeMs = getAccountVirtualTimeMs(router.ledger, POOL, account, shares[index] as number);
    fleet.sidecars.forEach((sidecar) => {
      schedule(fleet, messageDelayMs, () => {
        const report = { router: router.id, account, virtualTimeMs: timeMs };
        recordVirtualTimeReport(
          sidecar.scheduler,
          { ...report, roundTripMs: 2 * messageDelayMs },
          fleet.nowMs,
        );
        const distance = distanceBetween(fleet, sidecar, router);
        const fields = { waiting: 1000, oldestWaitMs: 0, distance, prefixHit: false };
        sidecar.candidates.set(`${router.id} ${account}`, { ...report, ...fields });
      });
    });
  });
}

function tickExchange(fleet: Fleet, router: Router): void {
  const event = { kind: 'tick', nowMs: fleet.nowMs } as const;
  reduceExchange(router.exchange, event).effects.forEach(({ to, message }) => {
    const receiver = fleet.routers.find(({ id }) => id === to) as Router;
    schedule(fleet, fleet.options.messageDelayMs, () => {
      reduceExchange(receiver.exchange, { kind: 'message', from: router.id, message });
    });
  });
}

function runDueDeliveries(fleet: Fleet): void {
  const due = fleet.deliveries.get(fleet.nowMs) ?? [];
  fleet.deliveries.delete(fleet.nowMs);
  due.forEach((action) => action());
}

function runStep(fleet: Fleet): void {
  const { options, nowMs } = fleet;
  runDueDeliveries(fleet);
  fleet.routers.forEach((router, index) => {
    tickExchange(fleet, router);
    if ((nowMs + index * STEP_MS) % options.demandPeriodMs === 0) sendDemand(fleet, router);
  });
  fleet.sidecars.forEach((sidecar) => {
    while (sidecar.freeSlots > 0 && GRANT_BY_POLICY[options.policy](fleet, sidecar))
      sidecar.freeSlots -= 1;
  });
  fleet.runningByAccount.forEach((count, account) => {
    const ms = (count * STEP_MS) / (options.shares[account] as number);
    fleet.normalizedServiceMs[account] = (fleet.normalizedServiceMs[account] as number) + ms;
  });
  fleet.nowMs += STEP_MS;
}

/** Tracks the largest increase of the service difference between any two accounts. */
function createGapMeter(accounts: number) {
  const minDifferenceMs = new Float64Array(accounts * accounts);
  let gapMs = 0;
  return {
    gapMs: () => gapMs,
    observe: (served: number[]) => {
      served.forEach((a, i) =>
        served.forEach((b, j) => {
          const pair = i * accounts + j;
          minDifferenceMs[pair] = Math.min(minDifferenceMs[pair] as number, a - b);
          gapMs = Math.max(gapMs, a - b - minDifferenceMs[pair]);
        }),
      );
    },
  };
}

/** Time excluded from the utilisation, in milliseconds. */
const WARM_UP_MS = 1000;

/** Runs one event sequence. The result depends only on the options. */
export function runFleet(options: FleetOptions, hasher: Hasher): FleetResult {
  const fleet = createFleet(options, hasher);
  const meter = createGapMeter(options.shares.length);
  const slots = options.sidecars * options.slotsPerSidecar;
  let busySlots = 0;
  let measuredSteps = 0;
  while (fleet.nowMs < options.durationMs) {
    runStep(fleet);
    meter.observe(fleet.normalizedServiceMs);
    if (fleet.nowMs >= WARM_UP_MS) {
      busySlots += fleet.runningByAccount.reduce((sum, count) => sum + count, 0);
      measuredSteps += 1;
    }
  }
  return {
    gapMs: Math.round(meter.gapMs()),
    utilisation: Number((busySlots / (slots * measuredSteps)).toFixed(4)),
    sameZoneFraction: Number((fleet.sameZoneCount / Math.max(1, fleet.dispatchedCount)).toFixed(3)),
    normalizedServiceMs: fleet.normalizedServiceMs.map(Math.round),
  };
}

/** Three zones with one router each, eight backend servers with a sidecar each and 16 accounts, a few with larger shares. */
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

/** Returns the upper bound of the service gap: twice the sum of the largest request and the fleet's service per period. */
export function gapBoundMs(options: FleetOptions): number {
  const { largestRequestMs, sidecars, slotsPerSidecar, exchangePeriodMs } = options;
  return 2 * (largestRequestMs + sidecars * slotsPerSidecar * exchangePeriodMs);
}
