/** The lagging list of instances. */
import type { PlatformInstance } from './types.js';

/** What the list shows at some time. */
export interface InstanceView {
  version: number;
  instances: PlatformInstance[];
}

/** A list of instances that shows each change late. Does no I/O; times are milliseconds of one clock. */
export interface InstanceList {
  put(instance: PlatformInstance, nowMs: number): void;
  remove(id: string, nowMs: number): void;
  view(nowMs: number): InstanceView;
}

interface PendingChange {
  visibleAtMs: number;
  id: string;
  instance: PlatformInstance | undefined;
}

/** Creates a list whose answers lag by `lagMs`; `initial` shows at once. */
export const createInstanceList = (lagMs: number, initial: PlatformInstance[]): InstanceList => {
  const shown = new Map(initial.map((instance) => [instance.id, instance]));
  const pending: PendingChange[] = [];
  let version = 1;

  const apply = ({ id, instance }: PendingChange) => {
    if (instance === undefined) shown.delete(id);
    else shown.set(id, instance);
    version += 1;
  };

  return {
    put: (instance, nowMs) => {
      pending.push({ visibleAtMs: nowMs + lagMs, id: instance.id, instance });
    },
    remove: (id, nowMs) => {
      pending.push({ visibleAtMs: nowMs + lagMs, id, instance: undefined });
    },
    view: (nowMs) => {
      while (pending[0] !== undefined && pending[0].visibleAtMs <= nowMs) {
        apply(pending.shift() as PendingChange);
      }
      return { version, instances: [...shown.values()] };
    },
  };
};
