/** Client of the request API that only model engines provide: list, cancel and resume. */
import type { Dispatcher } from 'undici';
import { request } from 'undici';
import { z } from 'zod';

const runningSchema = z.object({ running: z.array(z.object({ id: z.string() })) });

/** Client of one engine's request API. */
export interface EngineClient {
  /** Returns the ids of running requests. Rejects if the engine can't be reached. */
  listRunning(): Promise<string[]>;
  /** Cancels a request. Errors are ignored. */
  cancel(attempt: string): Promise<void>;
  /** Reads a response again from a byte offset. Resolves with null if the engine can't be reached. */
  resume(
    attempt: string,
    offset: number,
    signal: AbortSignal,
  ): Promise<Dispatcher.ResponseData | null>;
}

/** Creates the client. */
export function createEngineClient(url: string, dispatcher: Dispatcher): EngineClient {
  const requestUrlOf = (attempt: string) => `${url}/v1/requests/${encodeURIComponent(attempt)}`;

  return {
    async listRunning() {
      const res = await request(`${url}/v1/requests`, { dispatcher });
      const { running } = runningSchema.parse(await res.body.json());
      return running.map(({ id }) => id);
    },

    async cancel(attempt) {
      const cancelUrl = `${requestUrlOf(attempt)}/cancel`;
      const res = await request(cancelUrl, { method: 'POST', dispatcher }).catch(() => null);
      await res?.body.dump().catch(() => undefined);
    },

    resume: (attempt, offset, signal) =>
      request(`${requestUrlOf(attempt)}/stream?offset=${offset}`, { dispatcher, signal }).catch(
        () => null,
      ),
  };
}
