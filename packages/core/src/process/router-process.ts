/** Reducer of a router process, composed of the reducers for requests, configuration and the exchange of service totals. */
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

/** Number of account buckets in the exchange of service totals; must be the same on all routers. */
export const EXCHANGE_BUCKET_COUNT = 64;

const DEFAULT_EXCHANGE_PERIOD_MS = 500;

type EventOf<K extends CommonProcessEvent['kind']> = Extract<CommonProcessEvent, { kind: K }>;
type CommonEventHandlers = {
  [K in CommonProcessEvent['kind']]: (
    state: RouterProcessState,
    event: EventOf<K>,
    reducers: RouterReducers,
  ) => RouterProcessEffect[];
};

/** Functions that apply an event to one of the composed reducers and return its effects. */
interface RouterReducers {
  router(state: RouterProcessState, event: RouterEvent): RouterProcessEffect[];
  config(state: RouterProcessState, event: ConfigEvent): RouterProcessEffect[];
  exchange(state: RouterProcessState, event: ExchangeEvent): RouterProcessEffect[];
}

/** Creates the state of a router process without links and configuration. */
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
  const reducers = createReducers(hasher);
  return (state, event) => {
    if (isCommonProcessEvent(event))
      return { state, effects: handleCommonEvent(state, event, reducers) };
    if (isConfigStoreEvent(event)) return { state, effects: reducers.config(state, event) };
    return { state, effects: reducers.router(state, event) };
  };
}

function createReducers(hasher: Hasher): RouterReducers {
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

const commonEventHandlers: CommonEventHandlers = {
  'link-opened': (state, { link, hello, nowMs }, reducers) => {
    const version = hello.configVersion;
    const effects = reducers.config(state, { kind: 'link-opened', nowMs, link, version });
    if (hello.role === Role.Router) {
      state.routerLinks.set(hello.id, link);
      return effects;
    }
    const { backend, pool, dataUrl, incarnation } = hello;
    if (!backend || !pool || !dataUrl) return effects;
    const distance = distanceBetween(state.self, hello);
    effects.push(
      ...reducers.router(state, {
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

  'link-closed': (state, { link, nowMs }, reducers) => {
    state.routerLinks.forEach((openLink, router) => {
      if (openLink === link) state.routerLinks.delete(router);
    });
    return [
      ...reducers.config(state, { kind: 'link-closed', nowMs, link }),
      ...reducers.router(state, { kind: 'sidecar-unlinked', nowMs, link }),
    ];
  },

  message: (state, { link, message, nowMs }, reducers) => {
    if (isConfigMessage(message)) {
      return reducers.config(state, { kind: 'message', nowMs, link, message });
    }
    if (!isExchangeMessage(message)) {
      return reducers.router(state, { kind: 'message', nowMs, link, message });
    }
    const from = findRouterByLink(state, link);
    return from === null ? [] : reducers.exchange(state, { kind: 'message', from, message });
  },

  'routers-listed': (state, { routers, nowMs }, reducers) => {
    const { id, zone } = state.self;
    const others = routers.filter((router) => router.id !== id);
    const effects = reducers.exchange(state, { kind: 'routers-changed', routers: others });
    const routersOfZone = [id, ...others.filter((r) => r.zone === zone).map((r) => r.id)];
    effects.push(
      ...reducers.config(state, {
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

  tick: (state, { nowMs }, reducers) => [
    ...reducers.router(state, { kind: 'tick', nowMs }),
    ...reducers.config(state, { kind: 'tick', nowMs }),
    ...reducers.exchange(state, { kind: 'tick', nowMs }),
  ],
};

function handleCommonEvent(
  state: RouterProcessState,
  event: CommonProcessEvent,
  reducers: RouterReducers,
): RouterProcessEffect[] {
  const handle = commonEventHandlers[event.kind] as (
    s: RouterProcessState,
    e: CommonProcessEvent,
    t: RouterReducers,
  ) => RouterProcessEffect[];
  return handle(state, event, reducers);
}

function findRouterByLink(state: RouterProcessState, link: string): string | null {
  for (const [router, openLink] of state.routerLinks) if (openLink === link) return router;
  return null;
}
