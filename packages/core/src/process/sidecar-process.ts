/** The sidecar process as one reducer: slots and attempts, configuration, links to routers. */
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

/** Applies an event to one of the composed reducers. */
interface SidecarSteps {
  hasher: Hasher;
  sidecar(state: SidecarProcessState, event: SidecarEvent): SidecarProcessEffect[];
  config(state: SidecarProcessState, event: ConfigEvent): SidecarProcessEffect[];
}

type FleetHandlers = {
  [K in CommonProcessEvent['kind']]: (
    state: SidecarProcessState,
    event: EventOf<K>,
    steps: SidecarSteps,
  ) => SidecarProcessEffect[];
};

/** Creates the state of a sidecar process that has no configuration yet. */
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
  const steps = createSteps(hasher);
  return (state, event) => {
    if (isCommonProcessEvent(event))
      return { state, effects: handleFleetEvent(state, event, steps) };
    if (isConfigStoreEvent(event)) return { state, effects: steps.config(state, event) };
    return { state, effects: steps.sidecar(state, event) };
  };
}

function createSteps(hasher: Hasher): SidecarSteps {
  const configReducer = createConfigReducer(hasher);
  const steps: SidecarSteps = {
    hasher,
    sidecar: (state, event) => sidecarReducer(state.sidecar, event).effects,
    config: (state, event) =>
      configReducer(state.config, event).effects.flatMap((effect) =>
        effect.kind === 'config-in-force'
          ? [effect, ...applyConfig(state, effect.config, event.nowMs, steps)]
          : [effect],
      ),
  };
  return steps;
}

/** Takes the backend server's part of the configuration. One that is no longer listed takes no new work. */
function applyConfig(
  state: SidecarProcessState,
  config: FleetConfig,
  nowMs: number,
  steps: SidecarSteps,
): SidecarProcessEffect[] {
  const { options } = state.sidecar;
  const own = config.backends[options.backend];
  const pool = own?.pool ?? options.pool;
  const slots = own?.slots ?? options.slots;
  const draining = own ? (own.draining ?? false) : true;
  const poolChanged = pool !== options.pool;
  const fleetSlots = poolSlots(config, pool);
  const effects = steps.sidecar(state, {
    kind: 'configured',
    nowMs,
    pool,
    slots,
    fleetSlots,
    draining,
  });
  if (!poolChanged) return effects;
  // Routers learn the pool from the hello of a new link.
  return [...effects, { kind: 'keep-links', addresses: [] }, keepLinks(state, steps.hasher)];
}

/** Slots of all backend servers of the pool. */
function poolSlots(config: FleetConfig, pool: string): number {
  return Object.values(config.backends)
    .filter((backend) => backend.pool === pool)
    .reduce((sum, { slots }) => sum + slots, 0);
}

/** Before its pool is known, a sidecar has nothing to offer to routers. */
function keepLinks(state: SidecarProcessState, hasher: Hasher): SidecarProcessEffect {
  const { self, routers, maxLinks } = state;
  const hasPool = state.sidecar.options.pool !== '';
  const chosen = hasPool ? selectRoutersForSidecar(hasher, self, routers, maxLinks) : [];
  return { kind: 'keep-links', addresses: chosen.map(({ address }) => address) };
}

const fleetHandlers: FleetHandlers = {
  'link-opened': (state, { link, hello, nowMs }, steps) => {
    const { id: router, incarnation, configVersion: version } = hello;
    const distance = distanceBetween(state.self, hello);
    return [
      ...steps.config(state, { kind: 'link-opened', nowMs, link, version }),
      ...steps.sidecar(state, { kind: 'link-opened', nowMs, link, router, incarnation, distance }),
    ];
  },

  'link-closed': (state, { link, nowMs }, steps) => [
    ...steps.config(state, { kind: 'link-closed', nowMs, link }),
    ...steps.sidecar(state, { kind: 'link-closed', nowMs, link }),
  ],

  message: (state, { link, message, nowMs }, steps) =>
    isConfigMessage(message)
      ? steps.config(state, { kind: 'message', nowMs, link, message })
      : steps.sidecar(state, { kind: 'message', nowMs, link, message }),

  'routers-listed': (state, { routers }, steps) => {
    state.routers = routers;
    return [keepLinks(state, steps.hasher)];
  },

  tick: (state, { nowMs }, steps) => [
    ...steps.config(state, { kind: 'tick', nowMs }),
    ...steps.sidecar(state, { kind: 'tick', nowMs }),
  ],
};

function handleFleetEvent(
  state: SidecarProcessState,
  event: CommonProcessEvent,
  steps: SidecarSteps,
): SidecarProcessEffect[] {
  const handle = fleetHandlers[event.kind] as (
    s: SidecarProcessState,
    e: CommonProcessEvent,
    t: SidecarSteps,
  ) => SidecarProcessEffect[];
  return handle(state, event, steps);
}
