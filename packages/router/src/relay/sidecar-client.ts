/** Calls of the sidecars' attempts interface. */
import type { LostAttemptOutcome } from '@kingcupsill/core';
import { AttemptHeader, AttemptOutcome, filterForwardedHeaders } from '@kingcupsill/core';
import type { Dispatcher } from 'undici';
import { Agent, request } from 'undici';
import { z } from 'zod';

import type { HeldRequest } from '../callers/types.js';
import type { AskEffect, CancelEffect, DispatchEffect, ResumeEffect } from './types.js';

const ASK_TIMEOUT_MS = 1000;
const CANCEL_TIMEOUT_MS = 5000;

const outcomeSchema = z.object({ state: z.enum(AttemptOutcome) });
const cancelledSchema = z.object({ slotMs: z.number().nonnegative() });

/** Options of the client. */
export interface SidecarClientOptions {
  /** Token that sidecars expect. */
  token: string;
  /** Incarnation of this router. */
  incarnation: string;
}

/** Client of all sidecars. */
export interface SidecarClient {
  /** Sends the attempt; rejects when the connection breaks before an answer. */
  run(
    effect: DispatchEffect,
    held: HeldRequest,
    signal: AbortSignal,
  ): Promise<Dispatcher.ResponseData>;
  /** Reads the answer again from an offset; null when the sidecar can't be reached. */
  readAnswer(
    effect: Pick<ResumeEffect, 'attempt' | 'dataUrl' | 'offset'>,
    signal: AbortSignal,
  ): Promise<Dispatcher.ResponseData | null>;
  askOutcome(
    effect: Pick<AskEffect, 'attempt' | 'dataUrl' | 'sidecarIncarnation'>,
  ): Promise<LostAttemptOutcome>;
  /** Cancels and returns the slot time used; null when the sidecar can't be reached. */
  cancel(effect: CancelEffect): Promise<number | null>;
  close(): Promise<void>;
}

/** Creates the client. */
export function createSidecarClient(options: SidecarClientOptions): SidecarClient {
  const { token, incarnation } = options;
  const dispatcher = new Agent({ headersTimeout: 0, bodyTimeout: 0 });
  const authorized = { [AttemptHeader.Token]: token };

  function attemptHeaders(effect: DispatchEffect, held: HeldRequest) {
    return {
      ...filterForwardedHeaders(held.headers),
      ...authorized,
      [AttemptHeader.Grant]: String(effect.grant),
      [AttemptHeader.Account]: encodeURIComponent(held.account),
      [AttemptHeader.Service]: encodeURIComponent(held.service),
      [AttemptHeader.Method]: held.method,
      [AttemptHeader.Path]: held.path,
      [AttemptHeader.Estimate]: String(effect.estimateMs),
      [AttemptHeader.RouterIncarnation]: incarnation,
      [AttemptHeader.SidecarIncarnation]: effect.sidecarIncarnation,
    };
  }

  return {
    run: (effect, held, signal) =>
      request(attemptUrl(effect), {
        method: 'POST',
        headers: attemptHeaders(effect, held),
        body: held.body,
        dispatcher,
        signal,
      }),

    readAnswer: (effect, signal) =>
      request(`${attemptUrl(effect)}/answer?offset=${effect.offset}`, {
        headers: authorized,
        dispatcher,
        signal,
      }).catch(() => null),

    async askOutcome(effect) {
      try {
        const res = await request(`${attemptUrl(effect)}/outcome`, {
          method: 'POST',
          headers: {
            ...authorized,
            [AttemptHeader.SidecarIncarnation]: effect.sidecarIncarnation,
          },
          dispatcher,
          signal: AbortSignal.timeout(ASK_TIMEOUT_MS),
        });
        return outcomeSchema.parse(await res.body.json()).state;
      } catch {
        return 'unreachable';
      }
    },

    async cancel(effect) {
      try {
        const res = await request(attemptUrl(effect), {
          method: 'DELETE',
          headers: authorized,
          dispatcher,
          signal: AbortSignal.timeout(CANCEL_TIMEOUT_MS),
        });
        return cancelledSchema.parse(await res.body.json()).slotMs;
      } catch {
        return null;
      }
    },

    close: () => dispatcher.destroy(),
  };
}

function attemptUrl({ dataUrl, attempt }: { dataUrl: string; attempt: string }): string {
  return `${dataUrl}/attempts/${encodeURIComponent(attempt)}`;
}
