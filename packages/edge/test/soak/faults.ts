/** Fault injection of the soak test: one handler per kind of fault, and a seeded schedule of overlapping faults. */
import { setTimeout as delay } from 'node:timers/promises';
import type { Backend } from './backends.js';
import { Behaviour } from './backends.js';
import { ProxyMode } from './proxy.js';
import type { Router } from './routers.js';
import type { StoreStandin } from '../standins/store-standin.js';
import type { Operator } from './operator.js';
import { openSpan } from './types.js';
import type { ServerDeparture, TimeSpan } from './types.js';

/** Components that faults are injected into, and the records of their effects. */
export interface FaultTargets {
  routers: readonly Router[];
  backends: readonly Backend[];
  store: StoreStandin;
  operator: Operator;
  /** Spans during which the store or a router's connection path to it was disrupted. */
  storeDisruptions: TimeSpan[];
  departures: ServerDeparture[];
}

/** Scheduled fault. */
export interface Fault {
  atMs: number;
  kind: FaultKind;
  durationMs: number;
  /** Number in [0, 1) that selects the affected router or server. */
  selector: number;
}

type Handler = (targets: FaultTargets, fault: Fault) => Promise<void>;

function selectTarget<T>(targets: readonly T[], { selector }: Fault): T {
  return targets[Math.floor(selector * targets.length)]!;
}

/** Changes the behaviour of one permanently registered server, so that others can still serve. */
function withBehaviour(behaviour: Behaviour): Handler {
  return async ({ backends }, fault) => {
    const backend = selectTarget(backends, fault);
    backend.setBehaviour(behaviour);
    await delay(fault.durationMs);
    backend.setBehaviour(Behaviour.Serve);
  };
}

function withProxyMode(mode: ProxyMode, target: 'store' | 'server'): Handler {
  return async ({ routers, backends, storeDisruptions }, fault) => {
    const proxy =
      target === 'store'
        ? selectTarget(routers, fault).storeProxy
        : selectTarget(backends, fault).proxy;
    const endDisruption = target === 'store' ? openSpan(storeDisruptions, {}) : undefined;
    proxy.setMode(mode);
    await delay(fault.durationMs);
    proxy.setMode(ProxyMode.Pass);
    endDisruption?.();
  };
}

/** Routers under a fault of their process; further process faults on them are skipped. */
const routersUnderFault = new WeakSet<Router>();

function withRouter(inject: (router: Router, fault: Fault) => Promise<void>): Handler {
  return async ({ routers }, fault) => {
    const router = selectTarget(routers, fault);
    if (routersUnderFault.has(router)) return;
    routersUnderFault.add(router);
    await inject(router, fault);
    routersUnderFault.delete(router);
  };
}

/** Minimum time of a departure, longer than the grace time so that later work is detectable. */
const MIN_DEPARTURE_MS = 3500;

function withDeparture(depart: (backend: Backend) => void): Handler {
  return async ({ backends, departures }, fault) => {
    const backend = selectTarget(backends, fault);
    const endDeparture = openSpan(departures, { server: backend.id });
    depart(backend);
    await delay(MIN_DEPARTURE_MS + fault.durationMs);
    endDeparture();
    backend.register();
  };
}

const HANDLERS = {
  'router-killed': withRouter(async (router) => {
    await router.kill();
    await router.start();
  }),
  'router-stopped': withRouter(async (router) => {
    await router.stop();
    await router.start();
  }),
  'router-paused': withRouter(async (router, { durationMs }) => {
    router.pause();
    await delay(durationMs);
    router.resume();
  }),
  'settings-signal': withRouter(async (router) => router.reloadSettings()),
  'store-down': async ({ store, storeDisruptions }, { durationMs }) => {
    const endDisruption = openSpan(storeDisruptions, {});
    store.setDown(true);
    await delay(durationMs);
    store.setDown(false);
    endDisruption();
  },
  'store-lapse': async ({ store, backends, storeDisruptions }, { durationMs }) => {
    const endDisruption = openSpan(storeDisruptions, {});
    store.setDown(true);
    // All entries expire; live servers renew them within two seconds after the store recovers.
    backends.forEach((backend) => backend.deregister());
    await delay(Math.max(durationMs, 3200));
    store.setDown(false);
    await delay(1000);
    backends.forEach((backend) => backend.register());
    endDisruption();
  },
  'store-history-lost': async ({ store }) => store.discardHistory(),
  'store-delayed': withProxyMode(ProxyMode.Delay, 'store'),
  'store-silent': withProxyMode(ProxyMode.Silent, 'store'),
  'store-one-way': withProxyMode(ProxyMode.OneWay, 'store'),
  'store-refused': withProxyMode(ProxyMode.Refuse, 'store'),
  'server-delayed': withProxyMode(ProxyMode.Delay, 'server'),
  'server-silent': withProxyMode(ProxyMode.Silent, 'server'),
  'server-refused': withProxyMode(ProxyMode.Refuse, 'server'),
  'server-connections-reset': async ({ backends }, fault) =>
    selectTarget(backends, fault).proxy.resetAll(),
  'server-fails': withBehaviour(Behaviour.Fail),
  'server-sheds': withBehaviour(Behaviour.Shed),
  'server-hangs': withBehaviour(Behaviour.Hang),
  'server-resets': withBehaviour(Behaviour.Reset),
  'server-breaks': withBehaviour(Behaviour.Break),
  'server-spoils': withBehaviour(Behaviour.Spoil),
  'server-repeats': withBehaviour(Behaviour.Repeat),
  'server-restarted': async ({ backends, departures }, fault) => {
    const backend = selectTarget(backends, fault);
    const hasDeparted = departures.some(
      ({ server, untilMs }) => server === backend.id && untilMs > performance.now(),
    );
    if (!hasDeparted) backend.restart();
  },
  'server-drains': withDeparture((backend) => backend.register('draining')),
  'server-leaves': withDeparture((backend) => backend.deregister()),
  'configuration-changed': async ({ operator }) => operator.changeConfiguration(),
} satisfies Record<string, Handler>;

export type FaultKind = keyof typeof HANDLERS;
export const FAULT_KINDS = Object.keys(HANDLERS) as FaultKind[];

/** Mean time between the starts of faults, shorter than most faults last, so that several are active at any time. */
const MEAN_FAULT_INTERVAL_MS = 700;
/** Bounds of a fault's duration; some kinds take longer or have none. */
const MIN_FAULT_DURATION_MS = 300;
const MAX_FAULT_DURATION_MS = 4000;

/** Generates the faults for a run of `runDurationMs`. */
export function createFaultSchedule(random: () => number, runDurationMs: number): Fault[] {
  const faults: Fault[] = [];
  let atMs = 1000;
  while (atMs < runDurationMs) {
    const kind = FAULT_KINDS[Math.floor(random() * FAULT_KINDS.length)]!;
    const durationMs =
      MIN_FAULT_DURATION_MS + random() * (MAX_FAULT_DURATION_MS - MIN_FAULT_DURATION_MS);
    faults.push({ atMs, kind, durationMs, selector: random() });
    atMs += random() * 2 * MEAN_FAULT_INTERVAL_MS;
  }
  return faults;
}

/** Injects a fault; resolves once its effect is reverted. */
export function injectFault(targets: FaultTargets, fault: Fault): Promise<void> {
  return HANDLERS[fault.kind](targets, fault);
}
