/** Reducer of a sidecar process, composed of the reducers for slots and attempts and for the configuration. */
import { getOwn } from '../collections/index.js';
import { createConfigReducer, createConfigState } from '../config/index.js';
import type { ConfigEvent, FleetConfig } from '../config/index.js';
import type { Hasher } from '../hash/index.js';
import type { Reducer } from '../reducer/index.js';
import { Role, distanceBetween } from '../protocol/index.js';
import { createSidecarState, sidecarReducer } from '../sidecar/index.js';
import type { SidecarEvent } from '../sidecar/index.js';
import { selectRoutersForSidecar } from './link-selection.js';
import { isConfigMessage, isCommonProcessEvent, isConfigStoreEvent } from './message-kinds.js';
import type {
  CommonProcessEvent,
  SidecarProcessEffect,
  SidecarProcessEvent,
  SidecarProcessOptions,
  SidecarProcessState,
} from './types.js';

const DEFAULT_MAX_LINKS = 8;

type EventOf<K extends CommonProcessEvent['kind']> = Extract<CommonProcessEvent, { kind: K }>;

/** Functions that apply an event to one of the composed reducers and return its effects. */
interface SidecarReducers {
  hasher: Hasher;
  sidecar(state: SidecarProcessState, event: SidecarEvent): SidecarProcessEffect[];
  config(state: SidecarProcessState, event: ConfigEvent): SidecarProcessEffect[];
}

type CommonEventHandlers = {
  [K in CommonProcessEvent['kind']]: (
    state: SidecarProcessState,
    event: EventOf<K>,
    reducers: SidecarReducers,
  ) => SidecarProcessEffect[];
};

/** Creates the state of a sidecar process without configuration. */
export function createSidecarProcessState(options: SidecarProcessOptions): SidecarProcessState {
  const { self, nowMs } = options;
  return {
    self,
    sidecar: createSidecarState({ pool: '', slots: 0, ...options.sidecar }),
    config: createConfigState({ id: self.id, role: Role.Sidecar, seed: self.seed }, nowMs),
    routers: [],
    maxLinks: options.maxLinks ?? DEFAULT_MAX_LINKS,
  };
}

/** Creates the reducer of the sidecar process. */
export function createSidecarProcessReducer(
  hasher: Hasher,
): Reducer<SidecarProcessState, SidecarProcessEvent, SidecarProcessEffect> {
  const reducers = createReducers(hasher);
  return (state, event) => {
    if (isCommonProcessEvent(event))
      return { state, effects: handleCommonEvent(state, event, reducers) };
    if (isConfigStoreEvent(event)) return { state, effects: reducers.config(state, event) };
    return { state, effects: reducers.sidecar(state, event) };
  };
}

function createReducers(hasher: Hasher): SidecarReducers {
  const configReducer = createConfigReducer(hasher);
  const reducers: SidecarReducers = {
    hasher,
    sidecar: (state, event) => sidecarReducer(state.sidecar, event).effects,
    config: (state, event) =>
      configReducer(state.config, event).effects.flatMap((effect) =>
        effect.kind === 'config-in-force'
          ? [effect, ...applyConfig(state, effect.config, event.nowMs, reducers)]
          : [effect],
      ),
  };
  return reducers;
}

/** Applies the configuration of the own backend server, which drains if it is no longer listed. */
function applyConfig(
  state: SidecarProcessState,
  config: FleetConfig,
  nowMs: number,
  reducers: SidecarReducers,
): SidecarProcessEffect[] {
  const { options } = state.sidecar;
  const ownEntry = getOwn(config.backends, options.backend);
  const pool = ownEntry?.pool ?? options.pool;
  const slots = ownEntry?.slots ?? options.slots;
  const draining = ownEntry ? (ownEntry.draining ?? false) : true;
  const poolChanged = pool !== options.pool;
  const fleetSlots = countPoolSlots(config, pool);
  const effects = reducers.sidecar(state, {
    kind: 'configured',
    nowMs,
    pool,
    slots,
    fleetSlots,
    draining,
  });
  if (!poolChanged) return effects;
  // All links are closed and reopened because the pool is announced only in the hello.
  return [...effects, { kind: 'keep-links', addresses: [] }, selectLinks(state, reducers.hasher)];
}

/** Returns the number of slots of all backend servers of the pool. */
function countPoolSlots(config: FleetConfig, pool: string): number {
  return Object.values(config.backends)
    .filter((backend) => backend.pool === pool)
    .reduce((sum, { slots }) => sum + slots, 0);
}

/** Returns the effect that keeps the selected links, none as long as the pool is unknown. */
function selectLinks(state: SidecarProcessState, hasher: Hasher): SidecarProcessEffect {
  const { self, routers, maxLinks } = state;
  const hasPool = state.sidecar.options.pool !== '';
  const selected = hasPool ? selectRoutersForSidecar(hasher, self, routers, maxLinks) : [];
  return { kind: 'keep-links', addresses: selected.map(({ address }) => address) };
}

const commonEventHandlers: CommonEventHandlers = {
  'link-opened': (state, { link, hello, nowMs }, reducers) => {
    const { id: router, incarnation, configVersion: version } = hello;
    const distance = distanceBetween(state.self, hello);
    return [
      ...reducers.config(state, { kind: 'link-opened', nowMs, link, version }),
      ...reducers.sidecar(state, {
        kind: 'link-opened',
        nowMs,
        link,
        router,
        incarnation,
        distance,
      }),
    ];
  },

  'link-closed': (state, { link, nowMs }, reducers) => [
    ...reducers.config(state, { kind: 'link-closed', nowMs, link }),
    ...reducers.sidecar(state, { kind: 'link-closed', nowMs, link }),
  ],

  message: (state, { link, message, nowMs }, reducers) =>
    isConfigMessage(message)
      ? reducers.config(state, { kind: 'message', nowMs, link, message })
      : reducers.sidecar(state, { kind: 'message', nowMs, link, message }),

  'routers-listed': (state, { routers }, reducers) => {
    state.routers = routers;
    return [selectLinks(state, reducers.hasher)];
  },

  tick: (state, { nowMs }, reducers) => [
    ...reducers.config(state, { kind: 'tick', nowMs }),
    ...reducers.sidecar(state, { kind: 'tick', nowMs }),
  ],
};

function handleCommonEvent(
  state: SidecarProcessState,
  event: CommonProcessEvent,
  reducers: SidecarReducers,
): SidecarProcessEffect[] {
  const handle = commonEventHandlers[event.kind] as (
    s: SidecarProcessState,
    e: CommonProcessEvent,
    t: SidecarReducers,
  ) => SidecarProcessEffect[];
  return handle(state, event, reducers);
}
