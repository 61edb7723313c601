/** Asks sidecars about earlier attempts with a request's idempotency key. */
import type { Relay, RelayOptions } from './types.js';
import { readKeptAnswer } from './recorded-answer.js';
import type { SidecarClient } from './sidecar-client.js';

/** Time allowed for reading a kept answer. */
const FETCH_TIMEOUT_MS = 5000;

/** Creates the part of the relay that asks. */
export function createClaimedAttempts(
  client: SidecarClient,
  { clock, wallClock, dispatch }: RelayOptions,
): Pick<Relay, 'askClaimed' | 'fetchAnswer'> {
  const times = () => ({ nowMs: clock(), wallMs: wallClock() });
  return {
    async askClaimed({ request, target }) {
      const outcome = await client.askOutcome(target);
      dispatch({ kind: 'attempt-asked', ...times(), request, outcome });
    },

    async fetchAnswer({ request, target }) {
      const signal = AbortSignal.timeout(FETCH_TIMEOUT_MS);
      const res = await client.readAnswer({ ...target, offset: 0 }, signal);
      if (res && res.statusCode !== 200) await res.body.dump().catch(() => undefined);
      const answer = res?.statusCode === 200 ? await readKeptAnswer(res, target) : undefined;
      dispatch({ kind: 'answer-fetched', ...times(), request, answer });
    },
  };
}
