/** In-memory object store that injects faults into its calls in a given order. */
import { setImmediate as yieldTurn } from 'node:timers/promises';

import type { GetOutcome, ObjectClient, PutCondition, PutOutcome } from '../../src/index.js';

/** Fault injected into a call; a read fails for `down` only. */
export type InjectedFault = 'ok' | 'answer-lost' | 'request-lost' | 'late' | 'down';

interface Entry {
  version: number;
  body: Uint8Array;
}

/** Creates a store that several clients share. */
export const createFaultyObjectStore = (faults: readonly InjectedFault[]) => {
  const entries = new Map<string, Entry>();
  const lateWrites: (() => void)[] = [];
  let version = 0;
  let callCount = 0;

  const nextFault = (): InjectedFault => {
    const fault = faults[callCount] ?? 'ok';
    callCount += 1;
    return fault;
  };

  const apply = (key: string, body: Uint8Array, condition: PutCondition): PutOutcome => {
    const current = entries.get(key);
    const expectedVersion = condition.ifAbsent === true ? undefined : condition.ifVersion;
    const isConditional = condition.ifAbsent === true || expectedVersion !== undefined;
    if (isConditional && current?.version !== expectedVersion) {
      return { ok: false, code: 'conflict', currentVersion: current?.version };
    }
    version += 1;
    entries.set(key, { version, body });
    return { ok: true, version };
  };

  const unknown: PutOutcome = { ok: false, code: 'unknown', message: 'lost' };
  const down = { ok: false, code: 'unavailable', message: 'down' } as const;

  const put = (key: string, body: Uint8Array, condition: PutCondition): PutOutcome => {
    const handlers: Record<InjectedFault, () => PutOutcome> = {
      ok: () => apply(key, body, condition),
      'answer-lost': () => {
        apply(key, body, condition);
        return unknown;
      },
      'request-lost': () => unknown,
      late: () => {
        lateWrites.push(() => apply(key, body, condition));
        return unknown;
      },
      down: () => down,
    };
    return handlers[nextFault()]();
  };

  const get = (key: string): GetOutcome => {
    if (nextFault() === 'down') return down;
    const entry = entries.get(key);
    return entry === undefined ? { ok: false, code: 'not-found' } : { ok: true, ...entry };
  };

  /** Yields to other clients; before every third call, applies a delayed write. */
  const yieldAndDeliverLateWrites = async (): Promise<void> => {
    if (callCount % 3 === 0) lateWrites.splice(0, 1).forEach((write) => write());
    await yieldTurn();
  };

  const createClient = (): ObjectClient => ({
    get: async (key) => {
      await yieldAndDeliverLateWrites();
      return get(key);
    },
    put: async (key, body, condition = {}) => {
      await yieldAndDeliverLateWrites();
      return put(key, body, condition);
    },
    remove: () => Promise.resolve({ ok: true }),
    list: () => Promise.resolve({ ok: true, version, objects: [] }),
    watch: () => Promise.resolve({ ok: true, version, events: [] }),
  });

  return { createClient, keys: () => [...entries.keys()] };
};
