/** An object client in memory whose calls meet faults in a given order. */
import { setImmediate as yieldTurn } from 'node:timers/promises';

import type { GetOutcome, ObjectClient, PutCondition, PutOutcome } from '../../src/index.js';

/** What happens to a call; reads know only `ok` and `down`. */
export type InjectedFault = 'ok' | 'answer-lost' | 'request-lost' | 'late' | 'down';

interface Entry {
  version: number;
  body: Uint8Array;
}

/** Creates a shared store; each process opens its own client on it. */
export const createFaultyObjectStore = (fates: readonly InjectedFault[]) => {
  const entries = new Map<string, Entry>();
  const late: (() => void)[] = [];
  let version = 0;
  let calls = 0;

  const nextFate = (): InjectedFault => {
    const fate = fates[calls] ?? 'ok';
    calls += 1;
    return fate;
  };

  const apply = (key: string, body: Uint8Array, condition: PutCondition): PutOutcome => {
    const current = entries.get(key);
    const wanted = condition.ifAbsent === true ? undefined : condition.ifVersion;
    const conditional = condition.ifAbsent === true || wanted !== undefined;
    if (conditional && current?.version !== wanted) {
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
        late.push(() => apply(key, body, condition));
        return unknown;
      },
      down: () => down,
    };
    return handlers[nextFate()]();
  };

  const get = (key: string): GetOutcome => {
    if (nextFate() === 'down') return down;
    const entry = entries.get(key);
    return entry === undefined ? { ok: false, code: 'not-found' } : { ok: true, ...entry };
  };

  /** Lets other processes in, and every third call lets a late write arrive. */
  const turn = async (): Promise<void> => {
    if (calls % 3 === 0) late.splice(0, 1).forEach((write) => write());
    await yieldTurn();
  };

  const open = (): ObjectClient => ({
    get: async (key) => {
      await turn();
      return get(key);
    },
    put: async (key, body, condition = {}) => {
      await turn();
      return put(key, body, condition);
    },
    remove: () => Promise.resolve({ ok: true }),
    list: () => Promise.resolve({ ok: true, version, objects: [] }),
    watch: () => Promise.resolve({ ok: true, version, events: [] }),
  });

  return { open, keys: () => [...entries.keys()] };
};
