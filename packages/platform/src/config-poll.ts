/** Runs the `poll-store` effect of the configuration reducer against the configuration store. */
import type { ConfigEffect, ConfigEvent } from '@kingcupsill/core';

import type { ChangesOutcome, ConfigStore, LoadOutcome } from './config-types.js';

type PollEffect = Extract<ConfigEffect, { kind: 'poll-store' }>;
type AnswerKind = 'config-loaded' | 'patches-loaded' | 'store-failed';
type WithoutTime<E> = E extends unknown ? Omit<E, 'nowMs'> : never;

/** Answer to a poll; the host adds the time at which it came. */
export type PollAnswer = WithoutTime<Extract<ConfigEvent, { kind: AnswerKind }>>;

const fromLoad = (loaded: LoadOutcome): PollAnswer =>
  loaded.ok ? { kind: 'config-loaded', config: loaded.config } : { kind: 'store-failed' };

const fromChanges = (changes: ChangesOutcome): PollAnswer => {
  if (!changes.ok) return { kind: 'store-failed' };
  if (changes.kind === 'config') return { kind: 'config-loaded', config: changes.config };
  return { kind: 'patches-loaded', patches: changes.patches };
};

const handlers: Record<
  PollEffect['mode'],
  (store: ConfigStore, effect: PollEffect, signal?: AbortSignal) => Promise<PollAnswer>
> = {
  load: async (store) => fromLoad(await store.load()),
  read: async (store, { version }) => fromChanges(await store.readSince(version)),
  watch: async (store, { version, timeoutMs }, signal) =>
    fromChanges(await store.watch({ version, timeoutMs, signal })),
};

/** Makes the call that the effect asks for. Aborting the signal ends a watch as failed. */
export const runConfigPoll = (
  store: ConfigStore,
  effect: PollEffect,
  signal?: AbortSignal,
): Promise<PollAnswer> => handlers[effect.mode](store, effect, signal);
