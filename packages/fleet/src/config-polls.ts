/** Asks the object service for the configuration, as the reducer orders. */
import type { ConfigEffect, ConfigStoreEvent } from '@kingcupsill/core';
import { StorePollMode } from '@kingcupsill/core';
import type { ChangesOutcome, ConfigStore, LoadOutcome } from '@kingcupsill/platform';
import type { Logger } from '@kingcupsill/runtime';

/** The effect that orders a call. */
export type PollStoreEffect = Extract<ConfigEffect, { kind: 'poll-store' }>;

/** What the polls need. */
export interface ConfigPollsOptions {
  store: ConfigStore;
  logger: Logger;
  clock(): number;
  dispatch(event: ConfigStoreEvent): void;
}

/** Makes the calls. */
export interface ConfigPolls {
  /** Makes one call; it ends in exactly one event, unless closed before. */
  poll(effect: PollStoreEffect): Promise<void>;
  /** Ends a waiting watch. */
  close(): void;
}

/** Creates the polls. */
export function createConfigPolls(options: ConfigPollsOptions): ConfigPolls {
  const { store, logger, clock, dispatch } = options;
  const closing = new AbortController();

  const calls: Record<
    StorePollMode,
    (effect: PollStoreEffect) => Promise<LoadOutcome | ChangesOutcome>
  > = {
    [StorePollMode.Load]: () => store.load(),
    [StorePollMode.Read]: ({ version }) => store.readSince(version),
    [StorePollMode.Watch]: ({ version, timeoutMs }) =>
      store.watch({ version, timeoutMs, signal: closing.signal }),
  };

  return {
    async poll(effect) {
      const outcome = await calls[effect.mode](effect);
      if (closing.signal.aborted) return;
      if (!outcome.ok) logger.warn('config-store-failed', { mode: effect.mode, ...outcome });
      dispatch(toEvent(outcome, clock()));
    },
    close: () => closing.abort(),
  };
}

function toEvent(outcome: LoadOutcome | ChangesOutcome, nowMs: number): ConfigStoreEvent {
  if (!outcome.ok) return { kind: 'store-failed', nowMs };
  if ('patches' in outcome) return { kind: 'patches-loaded', nowMs, patches: outcome.patches };
  return { kind: 'config-loaded', nowMs, config: outcome.config };
}
