import assert from 'node:assert/strict';
import { test } from 'node:test';

import fc from 'fast-check';

import {
  EMPTY_CONFIG,
  applyAcceptedPatch,
  createConfigReducer,
  createConfigState,
  createHasher,
} from '../../src/index.js';
import type {
  AcceptedPatch,
  ConfigEffect,
  ConfigEvent,
  ConfigMessage,
  FleetConfig,
  Hasher,
} from '../../src/index.js';

const NODE_COUNT = 5;
const MAX_STEPS = 4000;

interface Packet {
  from: number;
  to: number;
  message: ConfigMessage;
}

/** One step of a schedule; `pick` selects the process or packet, modulo the number available. */
interface Action {
  kind: 'commit' | 'deliver' | 'duplicate' | 'lose' | 'store' | 'tick' | 'restart';
  pick: number;
}

/** Simulates processes linked in a ring with one chord, an object service, and packets delivered in any order. */
const createFleet = (hasher: Hasher) => {
  const reduce = createConfigReducer(hasher);
  const log: AcceptedPatch[] = [];
  let newest: FleetConfig = EMPTY_CONFIG;
  let nowMs = 0;
  const packets: Packet[] = [];
  const create = (index: number) =>
    createConfigState({ id: `r${index}`, role: 'router', seed: 5 }, nowMs);
  const states = Array.from({ length: NODE_COUNT }, (_, index) => create(index));

  const applyEffects = (from: number, effects: ConfigEffect[], versionBefore: number): void => {
    let version = versionBefore;
    effects.forEach((effect) => {
      if (effect.kind === 'send')
        packets.push({ from, to: Number(effect.link), message: effect.message });
      if (effect.kind !== 'config-in-force') return;
      assert.ok(effect.config.version > version, 'the version in force decreased');
      version = effect.config.version;
    });
  };

  const feed = (index: number, event: ConfigEvent): void => {
    const state = states[index]!;
    const versionBefore = state.config.version;
    applyEffects(index, reduce(state, event).effects, versionBefore);
  };

  const neighbours = (index: number): number[] => {
    const ring = [(index + 1) % NODE_COUNT, (index + NODE_COUNT - 1) % NODE_COUNT];
    if (index === 0) ring.push(2);
    if (index === 2) ring.push(0);
    return ring;
  };

  const connect = (index: number): void =>
    neighbours(index).forEach((peer) => {
      const { version } = states[peer]!.config;
      feed(index, { kind: 'link-opened', nowMs, link: String(peer), version });
    });

  const deliver = ({ from, to, message }: Packet): void =>
    feed(to, { kind: 'message', nowMs, link: String(from), message });

  const commit = (): void => {
    const version = newest.version + 1;
    const account = { share: version, services: [], keyHashes: [] };
    const patch = { accounts: { [`a${version % 3}`]: version % 5 === 0 ? null : account } };
    const outcome = applyAcceptedPatch(newest, { version, patch });
    assert.ok(outcome.ok);
    newest = outcome.config;
    log.push({ version, patch });
  };

  /** Delivers a result of the object service to process 0 or 1; the others have no access to it. */
  const readStore = (pick: number): void => {
    const index = pick % 2;
    if (pick % 3 === 0) feed(index, { kind: 'config-loaded', nowMs, config: newest });
    const patches = log.slice(states[index]!.config.version);
    feed(index, { kind: 'patches-loaded', nowMs, patches });
  };

  const handlers: Record<Action['kind'], (pick: number) => void> = {
    commit,
    deliver: (pick) => packets.splice(pick % Math.max(1, packets.length), 1).forEach(deliver),
    duplicate: (pick) => {
      const packet = packets[pick % Math.max(1, packets.length)];
      if (packet !== undefined) packets.push(packet);
    },
    lose: (pick) => packets.splice(pick % Math.max(1, packets.length), 1),
    store: readStore,
    tick: (pick) => {
      nowMs += 700;
      feed(pick % NODE_COUNT, { kind: 'tick', nowMs });
    },
    restart: (pick) => {
      const index = pick % NODE_COUNT;
      states[index] = create(index);
      connect(index);
    },
  };

  /** Reopens all links and delivers every message without loss until none is in flight. */
  const settle = (): void => {
    packets.length = 0;
    nowMs += 10_000;
    readStore(0);
    states.forEach((_, index) => connect(index));
    for (let step = 0; packets.length > 0; step += 1) {
      assert.ok(
        step < MAX_STEPS,
        'messages are still in flight after the maximum number of deliveries',
      );
      deliver(packets.shift()!);
    }
  };

  states.forEach((_, index) => connect(index));
  return {
    runAction: ({ kind, pick }: Action) => handlers[kind](pick),
    settle,
    newest: () => newest,
    configs: () => states.map((state) => state.config),
  };
};

const actionArbitrary: fc.Arbitrary<Action> = fc.record(
  {
    kind: fc.oneof(
      { weight: 3, arbitrary: fc.constant('commit' as const) },
      { weight: 8, arbitrary: fc.constant('deliver' as const) },
      { weight: 1, arbitrary: fc.constantFrom('duplicate' as const, 'lose', 'restart') },
      { weight: 2, arbitrary: fc.constantFrom('store' as const, 'tick') },
    ),
    pick: fc.nat(1000),
  },
  { noNullPrototype: true },
);

test('all processes converge to the newest version, without regression, after reordered, duplicated and lost messages', async () => {
  const hasher = await createHasher();
  fc.assert(
    fc.property(fc.array(actionArbitrary, { minLength: 20, maxLength: 250 }), (actions) => {
      const fleet = createFleet(hasher);
      actions.forEach(fleet.runAction);
      fleet.settle();
      const { version, accounts } = fleet.newest();
      fleet.configs().forEach((config) => {
        assert.equal(config.version, version);
        assert.deepEqual(config.accounts, accounts);
      });
    }),
    { seed: 62, numRuns: 300 },
  );
});
