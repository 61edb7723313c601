/** Asks sidecars about earlier attempts with a request's idempotency key. */
import type { Relay, RelayOptions } from './types.js';
import { readKeptResponse } from './recorded-response.js';
import type { SidecarClient } from './sidecar-client.js';

/** Time allowed for reading a kept answer. */
const FETCH_TIMEOUT_MS = 5000;

/** Creates the part of the relay that asks. */
export function createClaimedAttempts(
  client: SidecarClient,
  { clock, wallClock, dispatch }: RelayOptions,
): Pick<Relay, 'queryClaimedAttempt' | 'fetchResponse'> {
  const times = () => ({ nowMs: clock(), wallMs: wallClock() });
  return {
    async queryClaimedAttempt({ request, target }) {
      const outcome = await client.queryOutcome(target);
      dispatch({ kind: 'attempt-asked', ...times(), request, outcome });
    },

    async fetchResponse({ request, target }) {
      const signal = AbortSignal.timeout(FETCH_TIMEOUT_MS);
      const res = await client.readResponse({ ...target, offset: 0 }, signal);
      if (res && res.statusCode !== 200) await res.body.dump().catch(() => undefined);
      const answer = res?.statusCode === 200 ? await readKeptResponse(res, target) : undefined;
      dispatch({ kind: 'answer-fetched', ...times(), request, answer });
    },
  };
}
