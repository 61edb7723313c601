/** Client of the platform's rate-limited store of model weights. */
import { createHttpClient, toReadFailure } from './http.js';
import type { NotFoundFailure, PlatformClientOptions, ReadFailure } from './types.js';

export type WeightOutcome = { ok: true; body: Uint8Array } | NotFoundFailure | ReadFailure;

export interface WeightClient {
  /** Fetches the weights of a model. */
  get(model: string): Promise<WeightOutcome>;
}

/** Creates a client of the weight store. */
export const createWeightClient = (options: PlatformClientOptions): WeightClient => {
  const call = createHttpClient(options);
  return {
    get: async (model) => {
      const path = `/v1/weights/${encodeURIComponent(model)}`;
      const outcome = await call({ method: 'GET', path });
      if (outcome.ok && outcome.status === 404) return { ok: false, code: 'not-found' };
      if (!outcome.ok || outcome.status !== 200) return toReadFailure(outcome);
      return { ok: true, body: outcome.body };
    },
  };
};
