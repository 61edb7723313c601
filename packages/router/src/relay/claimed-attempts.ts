/** Queries to sidecars about earlier attempts with a request's idempotency key. */
import type { Relay, RelayOptions } from './types.js';
import { readKeptResponse } from './recorded-response.js';
import type { SidecarClient } from './sidecar-client.js';

/** Timeout for reading a kept response. */
const FETCH_TIMEOUT_MS = 5000;

/** Creates the relay functions that query earlier attempts. */
export function createClaimedAttempts(
  client: SidecarClient,
  { clock, wallClock, dispatch }: RelayOptions,
): Pick<Relay, 'queryClaimedAttempt' | 'fetchResponse'> {
  const currentTimes = () => ({ nowMs: clock(), wallMs: wallClock() });
  return {
    async queryClaimedAttempt({ request, target }) {
      const outcome = await client.queryOutcome(target);
      dispatch({ kind: 'attempt-asked', ...currentTimes(), request, outcome });
    },

    async fetchResponse({ request, target }) {
      const signal = AbortSignal.timeout(FETCH_TIMEOUT_MS);
      const res = await client.readResponse({ ...target, offset: 0 }, signal);
      if (res && res.statusCode !== 200) await res.body.dump().catch(() => undefined);
      const answer = res?.statusCode === 200 ? await readKeptResponse(res, target) : undefined;
      dispatch({ kind: 'answer-fetched', ...currentTimes(), request, answer });
    },
  };
}
