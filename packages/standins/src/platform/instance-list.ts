/** Instance list whose changes become visible after a delay. */
import type { PlatformInstance } from './types.js';

/** Visible instances at one point in time. */
export interface InstanceView {
  version: number;
  instances: PlatformInstance[];
}

/** List of instances with delayed changes. Performs no I/O; all times are milliseconds of the same clock. */
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

/** Creates a list whose changes become visible after `lagMs` milliseconds; `initial` is visible immediately. */
export const createInstanceList = (lagMs: number, initial: PlatformInstance[]): InstanceList => {
  const visible = new Map(initial.map((instance) => [instance.id, instance]));
  const pending: PendingChange[] = [];
  let version = 1;

  const applyChange = ({ id, instance }: PendingChange) => {
    if (instance === undefined) visible.delete(id);
    else visible.set(id, instance);
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
        applyChange(pending.shift() as PendingChange);
      }
      return { version, instances: [...visible.values()] };
    },
  };
};
