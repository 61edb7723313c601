/** Relay, which sends attempts to sidecars and their responses to callers. */
import type { LostAttemptOutcome, RecordedResponse } from '@kingcupsill/core';
import { AttemptHeader, AttemptOutcome } from '@kingcupsill/core';
import { isConnectError } from '@kingcupsill/fleet';
import type { Dispatcher } from 'undici';

import type { PendingRequest } from '../callers/types.js';
import { finishResponse, receiveHead, relayChunk, resetResponse } from './response-writer.js';
import { createClaimedAttempts } from './claimed-attempts.js';
import { recordResponse } from './recorded-response.js';
import { createSidecarClient } from './sidecar-client.js';
import type { Relay, RelayOptions } from './types.js';

type SidecarResponse = Dispatcher.ResponseData;

/** Creates a relay without running attempts. */
export function createRelay(options: RelayOptions): Relay {
  const { clock, dispatch, findRequest } = options;
  const client = createSidecarClient(options);
  const abortControllers = new Map<string, AbortController>();
  const report = createReporter(options);

  function startAttempt(attempt: string): AbortSignal {
    const controller = new AbortController();
    abortControllers.set(attempt, controller);
    return controller.signal;
  }

  /** Relays a response to its end and reports the attempt as ended, or as lost if the response is incomplete. */
  async function relayResponse(
    attempt: string,
    res: SidecarResponse,
    pending: PendingRequest,
  ): Promise<void> {
    const isReceived = await relayBody(res, pending);
    const trailers = res.trailers as Record<string, string | undefined>;
    if (!isReceived || trailers[AttemptHeader.Complete] !== '1') {
      report.lost(attempt, pending);
      return;
    }
    report.ended(attempt, Number(trailers[AttemptHeader.SlotMs]), recordResponse(pending));
    await finishResponse(pending);
  }

  return {
    async dispatch(effect) {
      const { attempt } = effect;
      const pending = findRequest(effect.request);
      if (!pending) {
        report.refused(attempt, 'caller-gone');
        return;
      }
      resetResponse(pending);
      const outcome = await client.run(effect, pending, startAttempt(attempt)).catch(toError);
      if (outcome instanceof Error) {
        if (isConnectError(outcome)) report.refused(attempt, 'unreachable');
        else report.lost(attempt, pending);
      } else if (outcome.headers[AttemptHeader.NotRun] !== undefined) {
        await discard(outcome);
        report.refused(attempt, String(outcome.headers[AttemptHeader.NotRun]));
      } else if (outcome.statusCode !== 200) {
        await discard(outcome);
        report.lost(attempt, pending);
      } else {
        receiveHead(pending, outcome, effect);
        await relayResponse(attempt, outcome, pending);
      }
      abortControllers.delete(attempt);
    },

    async resume(effect) {
      const { attempt } = effect;
      const pending = findRequest(effect.request);
      if (!pending) return;
      const res = await client.readResponse(effect, startAttempt(attempt));
      if (res?.statusCode === 200) {
        if (!pending.head) receiveHead(pending, res, { attempt, backend: pending.backend });
        await relayResponse(attempt, res, pending);
      } else {
        if (res) await discard(res);
        if (res?.statusCode === 410) report.learned(attempt, AttemptOutcome.Unknown);
        else report.lost(attempt, pending);
      }
      abortControllers.delete(attempt);
    },

    async queryOutcome(effect) {
      report.learned(effect.attempt, await client.queryOutcome(effect));
    },

    async cancel(effect) {
      const { attempt } = effect;
      const cancelledAtMs = clock();
      abortControllers.get(attempt)?.abort();
      const slotMs = await client.cancel(effect);
      const nowMs = clock();
      dispatch({ kind: 'attempt-ended', nowMs, attempt, slotMs: slotMs ?? nowMs - cancelledAtMs });
    },

    ...createClaimedAttempts(client, options),

    close: () => client.close(),
  };
}

function createReporter({ clock, dispatch }: RelayOptions) {
  return {
    lost(attempt: string, { receivedBytes, headRelayed }: PendingRequest): void {
      const nowMs = clock();
      dispatch({ kind: 'attempt-lost', nowMs, attempt, relayedBytes: receivedBytes, headRelayed });
    },
    refused(attempt: string, reason: string): void {
      dispatch({ kind: 'attempt-refused', nowMs: clock(), attempt, reason });
    },
    ended(attempt: string, slotMs: number, answer?: RecordedResponse): void {
      dispatch({ kind: 'attempt-ended', nowMs: clock(), attempt, slotMs, answer });
    },
    learned(attempt: string, outcome: LostAttemptOutcome): void {
      dispatch({ kind: 'outcome-learned', nowMs: clock(), attempt, outcome });
    },
  };
}

async function relayBody(res: SidecarResponse, pending: PendingRequest): Promise<boolean> {
  try {
    for await (const chunk of res.body) await relayChunk(pending, chunk as Buffer);
    return true;
  } catch {
    return false;
  }
}

async function discard(res: SidecarResponse): Promise<void> {
  await res.body.dump().catch(() => undefined);
}

function toError(err: unknown): Error {
  return err instanceof Error ? err : new Error(String(err));
}
