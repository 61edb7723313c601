/** The router process as one reducer: requests, configuration, and the exchange of service totals. */
import { createConfigReducer, createConfigState } from '../config/index.js';
import type { ConfigEvent } from '../config/index.js';
import { createExchange, reduceExchange } from '../fairness/index.js';
import type { ExchangeEvent } from '../fairness/index.js';
import type { Hasher } from '../hash/index.js';
import type { Reducer } from '../reducer/index.js';
import { Role, distanceBetween } from '../protocol/index.js';
import { createRouterState, routerReducer } from '../router/index.js';
import type { RouterEvent } from '../router/index.js';
import { selectRoutersToDial } from './link-selection.js';
import {
  isConfigMessage,
  isExchangeMessage,
  isCommonProcessEvent,
  isConfigStoreEvent,
} from './message-kinds.js';
import type {
  CommonProcessEvent,
  RouterProcessEffect,
  RouterProcessEvent,
  RouterProcessOptions,
  RouterProcessState,
} from './types.js';

/** Account buckets of the exchange; the same on every router. */
export const EXCHANGE_BUCKET_COUNT = 64;

const DEFAULT_EXCHANGE_PERIOD_MS = 500;

type EventOf<K extends CommonProcessEvent['kind']> = Extract<CommonProcessEvent, { kind: K }>;
type FleetHandlers = {
  [K in CommonProcessEvent['kind']]: (
    state: RouterProcessState,
    event: EventOf<K>,
    steps: RouterSteps,
  ) => RouterProcessEffect[];
};

/** Applies an event to one of the composed reducers. */
interface RouterSteps {
  router(state: RouterProcessState, event: RouterEvent): RouterProcessEffect[];
  config(state: RouterProcessState, event: ConfigEvent): RouterProcessEffect[];
  exchange(state: RouterProcessState, event: ExchangeEvent): RouterProcessEffect[];
}

/** Creates the state of a router process that has heard of nobody yet. */
export function createRouterProcessState(
  hasher: Hasher,
  options: RouterProcessOptions,
): RouterProcessState {
  const { self, nowMs } = options;
  const { incarnation } = self;
  const router = createRouterState({ incarnation, ...options.router });
  return {
    self,
    router,
    config: createConfigState({ id: self.id, role: Role.Router, seed: self.seed }, nowMs),
    exchange: createExchange({
      self: { id: self.id, incarnation, zone: self.zone },
      buckets: EXCHANGE_BUCKET_COUNT,
      periodMs: options.exchangePeriodMs ?? DEFAULT_EXCHANGE_PERIOD_MS,
      hasher,
      ledger: router.ledger,
    }),
    routerLinks: new Map(),
  };
}

/** Creates the reducer of the router process. */
export function createRouterProcessReducer(
  hasher: Hasher,
): Reducer<RouterProcessState, RouterProcessEvent, RouterProcessEffect> {
  const steps = createSteps(hasher);
  return (state, event) => {
    if (isCommonProcessEvent(event))
      return { state, effects: handleFleetEvent(state, event, steps) };
    if (isConfigStoreEvent(event)) return { state, effects: steps.config(state, event) };
    return { state, effects: steps.router(state, event) };
  };
}

function createSteps(hasher: Hasher): RouterSteps {
  const configReducer = createConfigReducer(hasher);
  return {
    router: (state, event) => routerReducer(state.router, event).effects,
    config: (state, event) => configReducer(state.config, event).effects,
    exchange: (state, event) =>
      reduceExchange(state.exchange, event).effects.flatMap(({ to, message }) => {
        const link = state.routerLinks.get(to);
        return link === undefined ? [] : [{ kind: 'send' as const, link, message }];
      }),
  };
}

const fleetHandlers: FleetHandlers = {
  'link-opened': (state, { link, hello, nowMs }, steps) => {
    const version = hello.configVersion;
    const effects = steps.config(state, { kind: 'link-opened', nowMs, link, version });
    if (hello.role === Role.Router) {
      state.routerLinks.set(hello.id, link);
      return effects;
    }
    const { backend, pool, dataUrl, incarnation } = hello;
    if (!backend || !pool || !dataUrl) return effects;
    const distance = distanceBetween(state.self, hello);
    effects.push(
      ...steps.router(state, {
        kind: 'sidecar-linked',
        nowMs,
        link,
        backend,
        pool,
        dataUrl,
        incarnation,
        distance,
      }),
    );
    return effects;
  },

  'link-closed': (state, { link, nowMs }, steps) => {
    state.routerLinks.forEach((open, router) => {
      if (open === link) state.routerLinks.delete(router);
    });
    return [
      ...steps.config(state, { kind: 'link-closed', nowMs, link }),
      ...steps.router(state, { kind: 'sidecar-unlinked', nowMs, link }),
    ];
  },

  message: (state, { link, message, nowMs }, steps) => {
    if (isConfigMessage(message)) {
      return steps.config(state, { kind: 'message', nowMs, link, message });
    }
    if (!isExchangeMessage(message)) {
      return steps.router(state, { kind: 'message', nowMs, link, message });
    }
    const from = routerOfLink(state, link);
    return from === null ? [] : steps.exchange(state, { kind: 'message', from, message });
  },

  'routers-listed': (state, { routers, nowMs }, steps) => {
    const { id, zone } = state.self;
    const others = routers.filter((router) => router.id !== id);
    const effects = steps.exchange(state, { kind: 'routers-changed', routers: others });
    const routersOfZone = [id, ...others.filter((r) => r.zone === zone).map((r) => r.id)];
    effects.push(
      ...steps.config(state, {
        kind: 'routers-changed',
        nowMs,
        routersOfZone,
        routersInFleet: others.length + 1,
      }),
    );
    const dialed = new Set(selectRoutersToDial(state.exchange));
    const addresses = others.filter((r) => dialed.has(r.id)).map((r) => r.address);
    effects.push({ kind: 'keep-links', addresses });
    return effects;
  },

  tick: (state, { nowMs }, steps) => [
    ...steps.router(state, { kind: 'tick', nowMs }),
    ...steps.config(state, { kind: 'tick', nowMs }),
    ...steps.exchange(state, { kind: 'tick', nowMs }),
  ],
};

function handleFleetEvent(
  state: RouterProcessState,
  event: CommonProcessEvent,
  steps: RouterSteps,
): RouterProcessEffect[] {
  const handle = fleetHandlers[event.kind] as (
    s: RouterProcessState,
    e: CommonProcessEvent,
    t: RouterSteps,
  ) => RouterProcessEffect[];
  return handle(state, event, steps);
}

function routerOfLink(state: RouterProcessState, link: string): string | null {
  for (const [router, open] of state.routerLinks) if (open === link) return router;
  return null;
}
