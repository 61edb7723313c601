/** Loaded models and role of the engine, and the orders that change them. */
import { request } from 'undici';
import { delay } from '../common/delay.js';
import { createJournal } from '../common/journal.js';
import type { Journal } from '../common/journal.js';
import type { OrderEntry } from './types.js';

/** A request to load or unload a model or to change the role. */
export interface Order {
  kind: OrderEntry['kind'];
  model?: string | undefined;
  role?: string | undefined;
  fencing: number;
}

export interface ModelsOptions {
  initialModels: string[];
  checksFencing: boolean;
  loadMs: number;
  /** Base URL of the platform service; undefined disables fetching weights. */
  weightStoreUrl: string | undefined;
}

/** Manages the loaded models and the role of the engine. */
export interface Models {
  loaded(): string[];
  loading(): string[];
  role(): string;
  /** Applies an order. Returns false if fencing is checked and the fencing number is outdated. Models load in the background. */
  applyOrder(order: Order): boolean;
  journal: Journal<OrderEntry>;
  close(): void;
}

const FETCH_RETRY_DELAY_MS = 200;

const fetchWeights = async (baseUrl: string, model: string, signal: AbortSignal) => {
  const url = `${baseUrl}/v1/weights/${encodeURIComponent(model)}`;
  const { statusCode, body } = await request(url, { signal });
  await body.dump({ limit: Number.MAX_SAFE_INTEGER });
  return statusCode === 200;
};

/** Creates the model manager with `initialModels` loaded. */
export const createModels = (options: ModelsOptions): Models => {
  const { loadMs, weightStoreUrl } = options;
  const loaded = new Set(options.initialModels);
  const pendingLoads = new Map<string, AbortController>();
  const journal = createJournal<OrderEntry>();
  let role = 'mixed';
  let highestFencing = 0;

  const fetchWithRetries = async (model: string, signal: AbortSignal): Promise<void> => {
    if (weightStoreUrl === undefined) return;
    while (!(await fetchWeights(weightStoreUrl, model, signal).catch(() => false))) {
      await delay(FETCH_RETRY_DELAY_MS, signal);
    }
  };
  const load = async (model: string): Promise<void> => {
    if (loaded.has(model) || pendingLoads.has(model)) return;
    const controller = new AbortController();
    pendingLoads.set(model, controller);
    try {
      await fetchWithRetries(model, controller.signal);
      await delay(loadMs, controller.signal);
      loaded.add(model);
    } catch {
      // The load was aborted by an unload or by `close`.
    } finally {
      if (pendingLoads.get(model) === controller) pendingLoads.delete(model);
    }
  };
  const unload = (model: string) => {
    pendingLoads.get(model)?.abort();
    pendingLoads.delete(model);
    loaded.delete(model);
  };
  const orderHandlers: Record<Order['kind'], (order: Order) => void> = {
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
    loading: () => [...pendingLoads.keys()],
    role: () => role,
    applyOrder: (order) => {
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
      orderHandlers[order.kind](order);
      return true;
    },
    journal,
    close: () => pendingLoads.forEach((controller) => controller.abort()),
  };
};
