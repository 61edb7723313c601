/** Faults of the soak: one handler each, and a seeded schedule in which they overlap. */
import { setTimeout as delay } from 'node:timers/promises';
import type { Backend } from './backends.js';
import { Behaviour } from './backends.js';
import { ProxyMode } from './proxy.js';
import type { Router } from './routers.js';
import type { StoreStandin } from '../standins/store-standin.js';
import type { Operator } from './operator.js';
import { openSpan } from './types.js';
import type { Disturbance, Leaving } from './types.js';

/** What faults act on. */
export interface Targets {
  routers: readonly Router[];
  backends: readonly Backend[];
  store: StoreStandin;
  operator: Operator;
  /** Spans in which some router's way to the store, or the store itself, was disturbed. */
  storeDisturbances: Disturbance[];
  leavings: Leaving[];
}

/** One fault of the schedule. */
export interface Fault {
  atMs: number;
  kind: FaultKind;
  forMs: number;
  /** From 0 up to 1: which router or server it takes. */
  pick: number;
}

type Handler = (targets: Targets, fault: Fault) => Promise<void>;

function pickOf<T>(list: readonly T[], { pick }: Fault): T {
  return list[Math.floor(pick * list.length)]!;
}

/** Only servers that are in the store for good are made to fail, so that a part of them always serves. */
function behaving(behaviour: Behaviour): Handler {
  return async ({ backends }, fault) => {
    const backend = pickOf(backends, fault);
    backend.behave(behaviour);
    await delay(fault.forMs);
    backend.behave(Behaviour.Serve);
  };
}

function passing(mode: ProxyMode, of: 'store' | 'server'): Handler {
  return async ({ routers, backends, storeDisturbances }, fault) => {
    const proxy =
      of === 'store' ? pickOf(routers, fault).storeProxy : pickOf(backends, fault).proxy;
    const close = of === 'store' ? openSpan(storeDisturbances, {}) : undefined;
    proxy.setMode(mode);
    await delay(fault.forMs);
    proxy.setMode(ProxyMode.Pass);
    close?.();
  };
}

/** A router that a fault has in hand is left alone by others. */
const inHand = new WeakSet<Router>();

function taking(act: (router: Router, fault: Fault) => Promise<void>): Handler {
  return async ({ routers }, fault) => {
    const router = pickOf(routers, fault);
    if (inHand.has(router)) return;
    inHand.add(router);
    await act(router, fault);
    inHand.delete(router);
  };
}

/** Servers leave for longer than the bound, so that work after it can be seen. */
const LEAVING_MS = 3500;

function leaving(leave: (backend: Backend) => void): Handler {
  return async ({ backends, leavings }, fault) => {
    const backend = pickOf(backends, fault);
    const close = openSpan(leavings, { server: backend.id });
    leave(backend);
    await delay(LEAVING_MS + fault.forMs);
    close();
    backend.register();
  };
}

const HANDLERS = {
  'router-killed': taking(async (router) => {
    await router.kill();
    await router.start();
  }),
  'router-stopped': taking(async (router) => {
    await router.stop();
    await router.start();
  }),
  'router-paused': taking(async (router, { forMs }) => {
    router.pause();
    await delay(forMs);
    router.resume();
  }),
  'settings-signal': taking(async (router) => router.hangUp()),
  'store-down': async ({ store, storeDisturbances }, { forMs }) => {
    const close = openSpan(storeDisturbances, {});
    store.setDown(true);
    await delay(forMs);
    store.setDown(false);
    close();
  },
  'store-lapse': async ({ store, backends, storeDisturbances }, { forMs }) => {
    const close = openSpan(storeDisturbances, {});
    store.setDown(true);
    // All entries lapse; live servers renew them within two seconds of the return.
    backends.forEach((backend) => backend.deregister());
    await delay(Math.max(forMs, 3200));
    store.setDown(false);
    await delay(1000);
    backends.forEach((backend) => backend.register());
    close();
  },
  'store-history-lost': async ({ store }) => store.forgetHistory(),
  'store-delayed': passing(ProxyMode.Delay, 'store'),
  'store-silent': passing(ProxyMode.Silent, 'store'),
  'store-one-way': passing(ProxyMode.OneWay, 'store'),
  'store-refused': passing(ProxyMode.Refuse, 'store'),
  'server-delayed': passing(ProxyMode.Delay, 'server'),
  'server-silent': passing(ProxyMode.Silent, 'server'),
  'server-refused': passing(ProxyMode.Refuse, 'server'),
  'server-connections-reset': async ({ backends }, fault) =>
    pickOf(backends, fault).proxy.resetAll(),
  'server-fails': behaving(Behaviour.Fail),
  'server-sheds': behaving(Behaviour.Shed),
  'server-hangs': behaving(Behaviour.Hang),
  'server-resets': behaving(Behaviour.Reset),
  'server-breaks': behaving(Behaviour.Break),
  'server-restarted': async ({ backends, leavings }, fault) => {
    const backend = pickOf(backends, fault);
    const away = leavings.some(
      ({ server, untilMs }) => server === backend.id && untilMs > performance.now(),
    );
    if (!away) backend.restart();
  },
  'server-drains': leaving((backend) => backend.register('draining')),
  'server-leaves': leaving((backend) => backend.deregister()),
  'configuration-changed': async ({ operator }) => operator.change(),
} satisfies Record<string, Handler>;

export type FaultKind = keyof typeof HANDLERS;
export const FAULT_KINDS = Object.keys(HANDLERS) as FaultKind[];

/** Mean time between faults, and bounds of how long one lasts: several are in progress at any time. */
const MEAN_GAP_MS = 700;
const LEAST_MS = 300;
const MOST_MS = 4000;

/** The faults of a seed. */
export function drawSchedule(random: () => number, lengthMs: number): Fault[] {
  const faults: Fault[] = [];
  let atMs = 1000;
  while (atMs < lengthMs) {
    const kind = FAULT_KINDS[Math.floor(random() * FAULT_KINDS.length)]!;
    const forMs = LEAST_MS + random() * (MOST_MS - LEAST_MS);
    faults.push({ atMs, kind, forMs, pick: random() });
    atMs += random() * 2 * MEAN_GAP_MS;
  }
  return faults;
}

/** Plays one fault to its end. */
export function playFault(targets: Targets, fault: Fault): Promise<void> {
  return HANDLERS[fault.kind](targets, fault);
}
