/** Loads the configuration from the object service on the reducer's request. */
import type { ConfigEffect, ConfigStoreEvent } from '@kingcupsill/core';
import { StorePollMode } from '@kingcupsill/core';
import type { ConfigChangesOutcome, ConfigStore, ConfigLoadOutcome } from '@kingcupsill/platform';
import type { Logger } from '@kingcupsill/runtime';

/** Effect that requests one poll. */
export type PollStoreEffect = Extract<ConfigEffect, { kind: 'poll-store' }>;

/** Dependencies of the poller. */
export interface ConfigPollerOptions {
  store: ConfigStore;
  logger: Logger;
  /** Current monotonic time in milliseconds. */
  clock(): number;
  dispatch(event: ConfigStoreEvent): void;
}

/** Polls the configuration store. */
export interface ConfigPoller {
  /** Makes one call and dispatches exactly one event with its result, or none once the poller is closed. */
  poll(effect: PollStoreEffect): Promise<void>;
  /** Aborts a pending watch. */
  close(): void;
}

/** Creates a poller without starting a call. */
export function createConfigPoller(options: ConfigPollerOptions): ConfigPoller {
  const { store, logger, clock, dispatch } = options;
  const closeController = new AbortController();

  const callsByMode: Record<
    StorePollMode,
    (effect: PollStoreEffect) => Promise<ConfigLoadOutcome | ConfigChangesOutcome>
  > = {
    [StorePollMode.Load]: () => store.load(),
    [StorePollMode.Read]: ({ version }) => store.readSince(version),
    [StorePollMode.Watch]: ({ version, timeoutMs }) =>
      store.watch({ version, timeoutMs, signal: closeController.signal }),
  };

  return {
    async poll(effect) {
      const outcome = await callsByMode[effect.mode](effect);
      if (closeController.signal.aborted) return;
      if (!outcome.ok) logger.warn('config-store-failed', { mode: effect.mode, ...outcome });
      dispatch(toStoreEvent(outcome, clock()));
    },
    close: () => closeController.abort(),
  };
}

function toStoreEvent(
  outcome: ConfigLoadOutcome | ConfigChangesOutcome,
  nowMs: number,
): ConfigStoreEvent {
  if (!outcome.ok) return { kind: 'store-failed', nowMs };
  if ('patches' in outcome) return { kind: 'patches-loaded', nowMs, patches: outcome.patches };
  return { kind: 'config-loaded', nowMs, config: outcome.config };
}
