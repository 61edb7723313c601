/** Client of the sidecars' attempts API. */
import type { LostAttemptOutcome } from '@kingcupsill/core';
import { AttemptHeader, AttemptOutcome, filterForwardedHeaders } from '@kingcupsill/core';
import type { Dispatcher } from 'undici';
import { Agent, request } from 'undici';
import { z } from 'zod';

import type { PendingRequest } from '../callers/types.js';
import type { CancelEffect, DispatchEffect, QueryOutcomeEffect, ResumeEffect } from './types.js';

const QUERY_TIMEOUT_MS = 1000;
const CANCEL_TIMEOUT_MS = 5000;

const outcomeSchema = z.object({ state: z.enum(AttemptOutcome) });
const cancellationSchema = z.object({ slotMs: z.number().nonnegative() });

/** Options of the sidecar client. */
export interface SidecarClientOptions {
  /** Token by which the router authenticates to sidecars. */
  token: string;
  /** Incarnation of this router. */
  incarnation: string;
}

/** Client for all sidecars of the fleet. */
export interface SidecarClient {
  /** Sends an attempt. Rejects if the connection fails before the response's head. */
  run(
    effect: DispatchEffect,
    pending: PendingRequest,
    signal: AbortSignal,
  ): Promise<Dispatcher.ResponseData>;
  /** Reads the response again from an offset. Resolves with null if the sidecar can't be reached. */
  readResponse(
    effect: Pick<ResumeEffect, 'attempt' | 'dataUrl' | 'offset'>,
    signal: AbortSignal,
  ): Promise<Dispatcher.ResponseData | null>;
  /** Queries the outcome of an attempt. Resolves with `unreachable` if the query fails. */
  queryOutcome(
    effect: Pick<QueryOutcomeEffect, 'attempt' | 'dataUrl' | 'sidecarIncarnation'>,
  ): Promise<LostAttemptOutcome>;
  /** Cancels an attempt and resolves with the slot time used, in milliseconds, or with null if the call fails. */
  cancel(effect: CancelEffect): Promise<number | null>;
  close(): Promise<void>;
}

/** Creates a sidecar client. */
export function createSidecarClient(options: SidecarClientOptions): SidecarClient {
  const { token, incarnation } = options;
  const dispatcher = new Agent({ headersTimeout: 0, bodyTimeout: 0 });
  const authHeaders = { [AttemptHeader.Token]: token };

  function createAttemptHeaders(effect: DispatchEffect, pending: PendingRequest) {
    return {
      ...filterForwardedHeaders(pending.headers),
      ...authHeaders,
      [AttemptHeader.Grant]: String(effect.grant),
      [AttemptHeader.Account]: encodeURIComponent(pending.account),
      [AttemptHeader.Service]: encodeURIComponent(pending.service),
      [AttemptHeader.Method]: pending.method,
      [AttemptHeader.Path]: pending.path,
      [AttemptHeader.Estimate]: String(effect.estimateMs),
      [AttemptHeader.RouterIncarnation]: incarnation,
      [AttemptHeader.SidecarIncarnation]: effect.sidecarIncarnation,
    };
  }

  return {
    run: (effect, pending, signal) =>
      request(attemptUrlOf(effect), {
        method: 'POST',
        headers: createAttemptHeaders(effect, pending),
        body: pending.body,
        dispatcher,
        signal,
      }),

    readResponse: (effect, signal) =>
      request(`${attemptUrlOf(effect)}/answer?offset=${effect.offset}`, {
        headers: authHeaders,
        dispatcher,
        signal,
      }).catch(() => null),

    async queryOutcome(effect) {
      try {
        const res = await request(`${attemptUrlOf(effect)}/outcome`, {
          method: 'POST',
          headers: {
            ...authHeaders,
            [AttemptHeader.SidecarIncarnation]: effect.sidecarIncarnation,
          },
          dispatcher,
          signal: AbortSignal.timeout(QUERY_TIMEOUT_MS),
        });
        return outcomeSchema.parse(await res.body.json()).state;
      } catch {
        return 'unreachable';
      }
    },

    async cancel(effect) {
      try {
        const res = await request(attemptUrlOf(effect), {
          method: 'DELETE',
          headers: authHeaders,
          dispatcher,
          signal: AbortSignal.timeout(CANCEL_TIMEOUT_MS),
        });
        return cancellationSchema.parse(await res.body.json()).slotMs;
      } catch {
        return null;
      }
    },

    close: () => dispatcher.destroy(),
  };
}

function attemptUrlOf({ dataUrl, attempt }: { dataUrl: string; attempt: string }): string {
  return `${dataUrl}/attempts/${encodeURIComponent(attempt)}`;
}
