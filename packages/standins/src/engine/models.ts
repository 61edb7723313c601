/** Models of the engine and the orders that change them. */
import { request } from 'undici';
import { delay } from '../common/delay.js';
import { createJournal } from '../common/journal.js';
import type { Journal } from '../common/journal.js';
import type { OrderEntry } from './types.js';

/** An order to the engine. */
export interface Order {
  kind: OrderEntry['kind'];
  model?: string | undefined;
  role?: string | undefined;
  fencing: number;
}

export interface ModelsOptions {
  initial: string[];
  checksFencing: boolean;
  loadMs: number;
  /** Base URL of the platform service, if weights are fetched. */
  weightStoreUrl: string | undefined;
}

/** Models that the engine has, its role, and the orders that change them. */
export interface Models {
  loaded(): string[];
  loading(): string[];
  role(): string;
  /** Takes an order; false when its fencing number is old and the engine checks. Loads go on in the background. */
  take(order: Order): boolean;
  journal: Journal<OrderEntry>;
  close(): void;
}

const RETRY_DELAY_MS = 200;

const fetchWeights = async (baseUrl: string, model: string, signal: AbortSignal) => {
  const url = `${baseUrl}/v1/weights/${encodeURIComponent(model)}`;
  const { statusCode, body } = await request(url, { signal });
  await body.dump({ limit: Number.MAX_SAFE_INTEGER });
  return statusCode === 200;
};

/** Creates the engine's models with `initial` loaded. */
export const createModels = (options: ModelsOptions): Models => {
  const { loadMs, weightStoreUrl } = options;
  const loaded = new Set(options.initial);
  const loads = new Map<string, AbortController>();
  const journal = createJournal<OrderEntry>();
  let role = 'mixed';
  let highestFencing = 0;

  const fetchUntilDone = async (model: string, signal: AbortSignal): Promise<void> => {
    if (weightStoreUrl === undefined) return;
    while (!(await fetchWeights(weightStoreUrl, model, signal).catch(() => false))) {
      await delay(RETRY_DELAY_MS, signal);
    }
  };
  const load = async (model: string): Promise<void> => {
    if (loaded.has(model) || loads.has(model)) return;
    const controller = new AbortController();
    loads.set(model, controller);
    try {
      await fetchUntilDone(model, controller.signal);
      await delay(loadMs, controller.signal);
      loaded.add(model);
    } catch {
      // Aborted by an unload or by closing.
    } finally {
      if (loads.get(model) === controller) loads.delete(model);
    }
  };
  const unload = (model: string) => {
    loads.get(model)?.abort();
    loads.delete(model);
    loaded.delete(model);
  };
  const carryOut: Record<Order['kind'], (order: Order) => void> = {
    'load-model': ({ model = '' }) => {
      void load(model);
    },
    'unload-model': ({ model = '' }) => unload(model),
    'change-role': (order) => {
      role = order.role ?? role;
    },
  };

  return {
    loaded: () => [...loaded],
    loading: () => [...loads.keys()],
    role: () => role,
    take: (order) => {
      const accepted = !options.checksFencing || order.fencing >= highestFencing;
      journal.add({
        kind: order.kind,
        model: order.model ?? null,
        role: order.role ?? null,
        fencing: order.fencing,
        accepted,
        atMs: Date.now(),
      });
      if (!accepted) return false;
      highestFencing = Math.max(highestFencing, order.fencing);
      carryOut[order.kind](order);
      return true;
    },
    journal,
    close: () => loads.forEach((controller) => controller.abort()),
  };
};
