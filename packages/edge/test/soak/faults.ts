/** Fault injection of the soak test: one handler per kind of fault, and a seeded schedule of overlapping faults. */
import { setTimeout as delay } from 'node:timers/promises';
import type { Backend } from './backends.js';
import { Behaviour } from './backends.js';
import { ProxyMode } from './proxy.js';
import type { Router } from './routers.js';
import { Resumption } from './streams.js';
import type { StoreStandin } from '../standins/store-standin.js';
import type { Operator } from './operator.js';
import { openSpan } from './types.js';
import type { ServerSpan, TimeSpan } from './types.js';

/** Components that faults are injected into, and the records of their effects. */
export interface FaultTargets {
  routers: readonly Router[];
  backends: readonly Backend[];
  store: StoreStandin;
  operator: Operator;
  /** Spans during which the store or a router's connection path to it was disrupted. */
  storeDisruptions: TimeSpan[];
  departures: ServerSpan[];
  /** Spans during which connections to a server were disrupted or reset. */
  serverDisruptions: ServerSpan[];
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

function withStoreProxy(mode: ProxyMode): Handler {
  return async ({ routers, storeDisruptions }, fault) => {
    const { storeProxy } = selectTarget(routers, fault);
    const endDisruption = openSpan(storeDisruptions, {});
    storeProxy.setMode(mode);
    await delay(fault.durationMs);
    storeProxy.setMode(ProxyMode.Pass);
    endDisruption();
  };
}

/** Runs `disrupt` on a server's connections and records the span. */
function withConnections(disrupt: (backend: Backend, fault: Fault) => Promise<void>): Handler {
  return async ({ backends, serverDisruptions }, fault) => {
    const backend = selectTarget(backends, fault);
    const endDisruption = openSpan(serverDisruptions, { server: backend.id });
    await disrupt(backend, fault);
    endDisruption();
  };
}

function withServerProxy(mode: ProxyMode): Handler {
  return withConnections(async ({ proxy }, { durationMs }) => {
    proxy.setMode(mode);
    await delay(durationMs);
    proxy.setMode(ProxyMode.Pass);
  });
}

/** Breaks off the streams of one server; the others spoil those that they resume. */
function withResumption(resumption: Resumption): Handler {
  return async (targets, fault) => {
    const { backends } = targets;
    backends.forEach((backend) => backend.setResumption(resumption));
    await withBehaviour(Behaviour.Break)(targets, fault);
    backends.forEach((backend) => backend.setResumption(Resumption.Correct));
  };
}

/** Routers under a fault of their process; further process faults on them are skipped. */
const routersUnderFault = new WeakSet<Router>();

type Selection = (routers: readonly Router[], fault: Fault) => readonly Router[];

const selectOne: Selection = (routers, fault) => [selectTarget(routers, fault)];
const selectEverySecond: Selection = (routers, { selector }) =>
  routers.filter((_router, index) => index % 2 === Math.round(selector));

function withRouter(
  inject: (router: Router, fault: Fault) => Promise<void>,
  select = selectOne,
): Handler {
  return async ({ routers }, fault) => {
    const selected = select(routers, fault).filter((router) => !routersUnderFault.has(router));
    selected.forEach((router) => routersUnderFault.add(router));
    await Promise.all(selected.map((router) => inject(router, fault)));
    selected.forEach((router) => routersUnderFault.delete(router));
  };
}

async function killAndStart(router: Router): Promise<void> {
  await router.kill();
  await router.start();
}

async function stopAndStart(router: Router): Promise<void> {
  await router.stop();
  await router.start();
}

/** Maximum time from the start of a process, or from its SIGTERM, to a signal. */
const MAX_SIGNAL_DELAY_MS = 500;

/** Leaves a part of the settings file, empty or cut, for a while. */
function withSettings(signals: boolean): Handler {
  return withRouter(async (router, { selector, durationMs }) => {
    // Without the last half, the file lacks sections; without the last tenth, one value is cut.
    const fractions = [0, 0.5, 0.9];
    await router.writeSettings(fractions[Math.floor(selector * 1000) % fractions.length]);
    if (signals) router.reloadSettings();
    await delay(durationMs);
    await router.writeSettings();
    if (signals) router.reloadSettings();
  });
}

/** Time between configurations in quick succession. */
const STORM_INTERVAL_MS = 150;
/** Storms don't overlap: they would take up most of the store's time, which is the soak's own. */
let hasStorm = false;

/** Minimum time of a departure, longer than the grace time so that later work is detectable. */
const MIN_DEPARTURE_MS = 3500;

/** Starts a server anew, which resets its connections. */
function restart({ serverDisruptions }: FaultTargets, backend: Backend): void {
  const endDisruption = openSpan(serverDisruptions, { server: backend.id });
  backend.restart();
  endDisruption();
}

function hasDeparted({ departures }: FaultTargets, { id }: Backend): boolean {
  return departures.some(({ server, untilMs }) => server === id && untilMs > performance.now());
}

/** A server that has departed doesn't depart again: it would come back at the end of the first departure, within the second one. */
function withDeparture(
  depart: (backend: Backend) => void,
  comeBack: (targets: FaultTargets, backend: Backend) => void,
): Handler {
  return async (targets, fault) => {
    const { backends, departures } = targets;
    const backend = selectTarget(backends, fault);
    if (hasDeparted(targets, backend)) return;
    const endDeparture = openSpan(departures, { server: backend.id });
    depart(backend);
    await delay(MIN_DEPARTURE_MS + fault.durationMs);
    endDeparture();
    comeBack(targets, backend);
  };
}

const HANDLERS = {
  'router-killed': withRouter(killAndStart),
  'router-stopped': withRouter(stopAndStart),
  'routers-killed': withRouter(killAndStart, selectEverySecond),
  'routers-stopped': withRouter(stopAndStart, selectEverySecond),
  'router-stopped-early': withRouter(async (router, { selector }) => {
    await router.kill();
    router.launch();
    await delay(((selector * 1000) % 1) * MAX_SIGNAL_DELAY_MS);
    await stopAndStart(router);
  }),
  'router-stopped-with-settings-signal': withRouter(async (router, { selector }) => {
    const stopped = router.stop();
    await delay(((selector * 1000) % 1) * MAX_SIGNAL_DELAY_MS);
    router.reloadSettings();
    await stopped;
    await router.start();
  }),
  'settings-incomplete': withSettings(false),
  'settings-incomplete-with-signal': withSettings(true),
  'settings-incomplete-at-start': withRouter(async (router, { durationMs }) => {
    await router.kill();
    await router.writeSettings(0);
    router.launch();
    await delay(Math.min(durationMs, MAX_SIGNAL_DELAY_MS));
    await router.writeSettings();
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
  'store-delayed': withStoreProxy(ProxyMode.Delay),
  'store-silent': withStoreProxy(ProxyMode.Silent),
  'store-one-way': withStoreProxy(ProxyMode.OneWay),
  'store-refused': withStoreProxy(ProxyMode.Refuse),
  // The router has to notice by itself, so the disruption is over at once.
  'store-connections-silent': async ({ routers, storeDisruptions }, fault) => {
    const endDisruption = openSpan(storeDisruptions, {});
    selectTarget(routers, fault).storeProxy.silenceAll();
    endDisruption();
  },
  'server-delayed': withServerProxy(ProxyMode.Delay),
  'server-silent': withServerProxy(ProxyMode.Silent),
  'server-refused': withServerProxy(ProxyMode.Refuse),
  'server-connections-silent': withConnections(async ({ proxy }, { durationMs }) => {
    proxy.silenceAll();
    await delay(durationMs);
  }),
  'server-connections-reset': withConnections(async ({ proxy }) => proxy.resetAll()),
  'server-fails': withBehaviour(Behaviour.Fail),
  'server-sheds': withBehaviour(Behaviour.Shed),
  'server-hangs': withBehaviour(Behaviour.Hang),
  'server-resets': withBehaviour(Behaviour.Reset),
  'server-breaks': withBehaviour(Behaviour.Break),
  'server-spoils': withBehaviour(Behaviour.Spoil),
  'server-repeats': withBehaviour(Behaviour.Repeat),
  'server-cuts-heads': withBehaviour(Behaviour.CutHead),
  'resumption-no-content': withResumption(Resumption.NoContent),
  'resumption-empty': withResumption(Resumption.Empty),
  'resumption-second-head': withResumption(Resumption.SecondHead),
  'resumption-foreign-event': withResumption(Resumption.ForeignEvent),
  'resumption-from-start': withResumption(Resumption.FromStart),
  'resumption-gap': withResumption(Resumption.Gap),
  'server-restarted': async (targets, fault) => {
    const backend = selectTarget(targets.backends, fault);
    if (!hasDeparted(targets, backend)) restart(targets, backend);
  },
  // A server that has announced its end exits; one that comes back has started anew.
  'server-drains': withDeparture((backend) => backend.register('draining'), restart),
  'server-leaves': withDeparture(
    (backend) => backend.deregister(),
    (_targets, backend) => backend.register(),
  ),
  'configuration-changed': async ({ operator }) => operator.changeConfiguration(),
  'configuration-storm': async ({ operator }, { durationMs }) => {
    if (hasStorm) return;
    hasStorm = true;
    const untilMs = performance.now() + durationMs;
    while (performance.now() < untilMs) {
      operator.changeConfiguration(true);
      await delay(STORM_INTERVAL_MS);
    }
    operator.changeConfiguration();
    hasStorm = false;
  },
} satisfies Record<string, Handler>;

export type FaultKind = keyof typeof HANDLERS;
export const FAULT_KINDS = Object.keys(HANDLERS) as FaultKind[];

/** Bounds of a fault's duration; some kinds take longer or have none. */
const MIN_FAULT_DURATION_MS = 300;
const MAX_FAULT_DURATION_MS = 4000;

export interface FaultScheduleOptions {
  random: () => number;
  runDurationMs: number;
  /** Mean time between the starts of faults; shorter than most faults last, several are active at any time. */
  meanIntervalMs: number;
  /** @default FAULT_KINDS */
  kinds?: readonly FaultKind[];
}

/** Generates the faults of a run. */
export function createFaultSchedule(options: FaultScheduleOptions): Fault[] {
  const { random, runDurationMs, meanIntervalMs, kinds = FAULT_KINDS } = options;
  const faults: Fault[] = [];
  let atMs = 1000;
  while (atMs < runDurationMs) {
    const kind = kinds[Math.floor(random() * kinds.length)]!;
    const durationMs =
      MIN_FAULT_DURATION_MS + random() * (MAX_FAULT_DURATION_MS - MIN_FAULT_DURATION_MS);
    faults.push({ atMs, kind, durationMs, selector: random() });
    atMs += random() * 2 * meanIntervalMs;
  }
  return faults;
}

/** Injects a fault; resolves once its effect is reverted. */
export function injectFault(targets: FaultTargets, fault: Fault): Promise<void> {
  return HANDLERS[fault.kind](targets, fault);
}
