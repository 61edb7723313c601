/** Sends attempts to sidecars and relays their answers to callers. */
import type { LostAttemptOutcome, RecordedResponse } from '@kingcupsill/core';
import { AttemptHeader, AttemptOutcome } from '@kingcupsill/core';
import { isNotSent } from '@kingcupsill/fleet';
import type { Dispatcher } from 'undici';

import type { HeldRequest } from '../callers/types.js';
import { finishAnswer, relayChunk, resetAnswer, takeHead } from './answer-writer.js';
import { createClaimedAttempts } from './claimed-attempts.js';
import { recordedAnswer } from './recorded-answer.js';
import { createSidecarClient } from './sidecar-client.js';
import type { Relay, RelayOptions } from './types.js';

type SidecarResponse = Dispatcher.ResponseData;

/** Creates the relay. */
export function createRelay(options: RelayOptions): Relay {
  const { clock, dispatch, held: findHeld } = options;
  const client = createSidecarClient(options);
  const running = new Map<string, AbortController>();
  const report = createReports(options);

  function begin(attempt: string): AbortSignal {
    const controller = new AbortController();
    running.set(attempt, controller);
    return controller.signal;
  }

  /** Relays one HTTP answer to its end and reports how it ended. */
  async function follow(attempt: string, res: SidecarResponse, held: HeldRequest): Promise<void> {
    const isRead = await relayBody(res, held);
    const trailers = res.trailers as Record<string, string | undefined>;
    if (!isRead || trailers[AttemptHeader.Complete] !== '1') {
      report.lost(attempt, held);
      return;
    }
    report.ended(attempt, Number(trailers[AttemptHeader.SlotMs]), recordedAnswer(held));
    await finishAnswer(held);
  }

  return {
    async dispatch(effect) {
      const { attempt } = effect;
      const held = findHeld(effect.request);
      if (!held) {
        report.refused(attempt, 'caller-gone');
        return;
      }
      resetAnswer(held);
      const outcome = await client.run(effect, held, begin(attempt)).catch(toError);
      if (outcome instanceof Error) {
        if (isNotSent(outcome)) report.refused(attempt, 'unreachable');
        else report.lost(attempt, held);
      } else if (outcome.headers[AttemptHeader.NotRun] !== undefined) {
        await discard(outcome);
        report.refused(attempt, String(outcome.headers[AttemptHeader.NotRun]));
      } else if (outcome.statusCode !== 200) {
        await discard(outcome);
        report.lost(attempt, held);
      } else {
        takeHead(held, outcome, effect);
        await follow(attempt, outcome, held);
      }
      running.delete(attempt);
    },

    async resume(effect) {
      const { attempt } = effect;
      const held = findHeld(effect.request);
      if (!held) return;
      const res = await client.readAnswer(effect, begin(attempt));
      if (res?.statusCode === 200) {
        if (!held.head) takeHead(held, res, { attempt, backend: held.backend });
        await follow(attempt, res, held);
      } else {
        if (res) await discard(res);
        if (res?.statusCode === 410) report.learned(attempt, AttemptOutcome.Unknown);
        else report.lost(attempt, held);
      }
      running.delete(attempt);
    },

    async askOutcome(effect) {
      report.learned(effect.attempt, await client.askOutcome(effect));
    },

    async cancel(effect) {
      const { attempt } = effect;
      const askedAtMs = clock();
      running.get(attempt)?.abort();
      const slotMs = await client.cancel(effect);
      const nowMs = clock();
      dispatch({ kind: 'attempt-ended', nowMs, attempt, slotMs: slotMs ?? nowMs - askedAtMs });
    },

    ...createClaimedAttempts(client, options),

    close: () => client.close(),
  };
}

function createReports({ clock, dispatch }: RelayOptions) {
  return {
    lost(attempt: string, { receivedBytes, headRelayed }: HeldRequest): void {
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

async function relayBody(res: SidecarResponse, held: HeldRequest): Promise<boolean> {
  try {
    for await (const chunk of res.body) await relayChunk(held, chunk as Buffer);
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
