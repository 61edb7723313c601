/** Test fixture: a direct router with a sample configuration and a simulated clock. */
import {
  changeVersionRecord,
  createDirectState,
  directReducer,
  RetryPolicy,
} from '../../src/direct/index.js';
import type {
  BackendServerEntry,
  DirectEffect,
  DirectEvent,
  DirectState,
  FleetConfig,
  RequestAttributes,
  Route,
  StreamsByVersion,
  VersionRecord,
} from '../../src/direct/index.js';

type Untimed<T> = T extends DirectEvent ? Omit<T, 'nowMs'> : never;

export const hasher = {
  hash32: (text: string) =>
    [...text].reduce((hash, char) => (hash * 31 + char.charCodeAt(0)) % 4_294_967_296, 7),
};

export function sampleRoute(overrides: Partial<Route> = {}): Route {
  return {
    name: 'reviews',
    host: 'a.example',
    pathPrefix: '/reviews/',
    streaming: true,
    retryPolicy: RetryPolicy.Resume,
    timeoutMs: 10_000,
    objectiveMs: 800,
    maxAttempts: 2,
    priority: 1,
    public: false,
    allowedRegions: [],
    services: [{ service: 'engines', weight: 1 }],
    ...overrides,
  };
}

export function sampleConfig(version = 1, routes: Route[] = [sampleRoute()]): FleetConfig {
  return {
    version,
    routes,
    services: [
      {
        name: 'engines',
        maxConnections: 100,
        engine: { slots: 64, kvCapacityTokens: 500_000 },
        cold: undefined,
      },
      { name: 'orders', maxConnections: 100, engine: undefined, cold: undefined },
    ],
    accounts: [{ name: 'kingston', apiKeys: ['key-1'], priority: undefined, allowedRegions: [] }],
    limits: {
      maxHeaderBytes: 8192,
      maxBodyBytes: 65_536,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    engineTokensPerSecond: 200_000,
  };
}

export function sampleEntry(
  id: string,
  overrides: Partial<BackendServerEntry> = {},
): BackendServerEntry {
  return {
    id,
    service: 'engines',
    host: '127.0.0.1',
    port: 1000,
    zone: 'z1',
    slots: 64,
    draining: false,
    startedAtMs: 1,
    softwareVersion: 'v1',
    coldForMs: undefined,
    invalidColdFor: undefined,
    ...overrides,
  };
}

export interface SampleRouter {
  state: DirectState;
  now(): number;
  /** Advances the simulated clock without an event. */
  advance(ms: number): void;
  dispatch(event: Untimed<DirectEvent>): DirectEffect[];
  /** Dispatches a request with these attributes; the others have default values. */
  request(id: string, overrides?: Partial<RequestAttributes>, draw?: number): DirectEffect[];
}

/** Records of versions and streams that routers share. */
export interface SampleStore {
  versions: Map<string, VersionRecord>;
  streamsByRouter: Map<string, StreamsByVersion>;
  /** While true, the store answers no call. */
  isDown: boolean;
}

export function createSampleStore(): SampleStore {
  return { versions: new Map(), streamsByRouter: new Map(), isDown: false };
}

/** Carries out an effect on the store at once. Returns the event that answers it; undefined for other effects. */
function runStoreEffect(
  store: SampleStore,
  router: string,
  effect: DirectEffect,
): Untimed<DirectEvent> | undefined {
  const { versions, streamsByRouter, isDown } = store;
  switch (effect.kind) {
    case 'record-versions': {
      const { service, change } = effect;
      const current = versions.get(service) ?? { versions: [], unused: [] };
      const record = changeVersionRecord(current, change) ?? current;
      if (!isDown) versions.set(service, record);
      return { kind: 'versions-recorded', service, change, record: isDown ? undefined : record };
    }
    case 'store-streams':
      if (!isDown) streamsByRouter.set(router, effect.streams);
      return { kind: 'streams-stored', ok: !isDown };
    case 'read-streams': {
      const recorded = [...versions].map(([service, record]): [string, string[]] => [
        service,
        record.versions,
      ]);
      const records = { versions: new Map(recorded), streams: [...streamsByRouter.values()] };
      return { kind: 'streams-read', records: isDown ? undefined : records };
    }
    default:
      return undefined;
  }
}

export function createSampleState(router = 'r1/1', followsEvacuations = false): DirectState {
  return createDirectState({
    instance: router.split('/')[0]!,
    router,
    hasher,
    zone: 'z1',
    regionByZone: new Map([
      ['z1', 'r1'],
      ['z2', 'r2'],
    ]),
    followsEvacuations,
    registry: { outageThresholdMs: 3000, renewalGraceMs: 2200 },
    retryBudget: { ratio: 0.2, burst: 50, windowMs: 10_000 },
    store: { writesPerSecond: 400, readsPerSecond: 2000 },
    shareWindowMs: 4000,
  });
}

export function createSampleRouter(
  entries: BackendServerEntry[] = [sampleEntry('e1'), sampleEntry('e2')],
  config: FleetConfig = sampleConfig(),
  router = 'r1/1',
  store = createSampleStore(),
  state = createSampleState(router),
): SampleRouter {
  let nowMs = 1000;
  const dispatch = (event: Untimed<DirectEvent>): DirectEffect[] =>
    directReducer(state, { ...event, nowMs }).effects.flatMap((effect) => {
      const answer = runStoreEffect(store, router, effect);
      if (answer === undefined) return effect;
      return dispatch(answer).filter(({ kind }) => kind !== 'note');
    });
  dispatch({ kind: 'configured', config });
  dispatch({ kind: 'servers-listed', entries });

  return {
    state,
    now: () => nowMs,
    advance(ms) {
      nowMs += ms;
    },
    dispatch,
    request(id, overrides = {}, draw = 0.5) {
      const route = overrides.route ?? config.routes[0]!;
      const attributes: RequestAttributes = {
        route,
        service: route.services[0]!.service,
        account: 'kingston',
        accountRegions: [],
        expiresAtMs: nowMs + route.timeoutMs,
        fingerprint: id,
        streamId: id,
        resumeAfter: undefined,
        promptParts: [
          { id: 'shared', tokens: 4000 },
          { id: id.padEnd(8, '0'), tokens: 1000 },
        ],
        promptTokens: 5000,
        maxOutputTokens: 100,
        ...overrides,
      };
      return dispatch({ kind: 'request', request: id, attributes, draw });
    },
  };
}

/** Returns the only `send` effect; throws if there is none or more than one. */
export function expectSend(effects: DirectEffect[]): Extract<DirectEffect, { kind: 'send' }> {
  const [send, ...others] = effects.filter((effect) => effect.kind === 'send');
  if (send === undefined || others.length > 0)
    throw new Error(`expected one send effect, got ${JSON.stringify(effects)}`);
  return send;
}

/** Returns the only `refuse` effect; throws if there is none or more than one. */
export function expectRefusal(effects: DirectEffect[]): Extract<DirectEffect, { kind: 'refuse' }> {
  const [refusal, ...others] = effects.filter((effect) => effect.kind === 'refuse');
  if (refusal === undefined || others.length > 0)
    throw new Error(`expected one refuse effect, got ${JSON.stringify(effects)}`);
  return refusal;
}
