/** Calls that only model engines answer: list, cancel and resume requests. */
import type { Dispatcher } from 'undici';
import { request } from 'undici';
import { z } from 'zod';

const runningSchema = z.object({ running: z.array(z.object({ id: z.string() })) });

/** Client of one engine's own interface. */
export interface EngineClient {
  /** Ids of the requests that run. Rejects when the engine can't be reached. */
  listRunning(): Promise<string[]>;
  /** Stops a request; an engine that can't be reached is left alone. */
  cancel(attempt: string): Promise<void>;
  /** Reads a stream again from a byte offset; null when the engine can't be reached. */
  resume(
    attempt: string,
    offset: number,
    signal: AbortSignal,
  ): Promise<Dispatcher.ResponseData | null>;
}

/** Creates the client. */
export function createEngineClient(url: string, dispatcher: Dispatcher): EngineClient {
  const requestUrl = (attempt: string) => `${url}/v1/requests/${encodeURIComponent(attempt)}`;

  return {
    async listRunning() {
      const res = await request(`${url}/v1/requests`, { dispatcher });
      const { running } = runningSchema.parse(await res.body.json());
      return running.map(({ id }) => id);
    },

    async cancel(attempt) {
      const cancelUrl = `${requestUrl(attempt)}/cancel`;
      const res = await request(cancelUrl, { method: 'POST', dispatcher }).catch(() => null);
      await res?.body.dump().catch(() => undefined);
    },

    resume: (attempt, offset, signal) =>
      request(`${requestUrl(attempt)}/stream?offset=${offset}`, { dispatcher, signal }).catch(
        () => null,
      ),
  };
}
