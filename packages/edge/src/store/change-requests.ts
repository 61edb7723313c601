/**
 * Requests for the changes after a position. The store holds them until there is a change, and a held request looks the same on a sound
 * connection and on a silent one; news of other routers and a new era of the store end it early.
 */
import type {
  ReadMode,
  StoreChangeBatch,
  StoreClient,
  StoreKind,
  StorePosition,
  StoreResult,
} from '@kingcupsill/prepared-platform';
import type { Clock, Logger } from '@kingcupsill/runtime';
import type { CallResults } from './call-results.js';
import type { FollowedNews } from './followed-news.js';
import type { StoreEra } from './store-era.js';

/** Options of the requests. */
export interface ChangeRequestsOptions {
  client: StoreClient;
  kind: StoreKind;
  clock: Clock;
  logger: Logger;
  era: StoreEra;
  news: FollowedNews | undefined;
  onCallEnded: (kind: StoreKind, outcome: string) => void;
}

/** Requests of one feed. */
export interface ChangeRequests {
  /** Returns the result, or undefined if the request was ended early. */
  send(
    from: StorePosition,
    waitMs: number,
    mode: ReadMode,
  ): Promise<StoreResult<StoreChangeBatch> | undefined>;
  /** Returns whether the last request was ended because other routers know of a change. */
  wasContradicted(): boolean;
}

const EarlyEnd = {
  /** A new era of the store has begun. */
  Era: 'era',
  /** Other routers know of a change that the store hasn't answered. */
  Contradicted: 'contradicted',
} as const;
type EarlyEnd = (typeof EarlyEnd)[keyof typeof EarlyEnd];

/** @param results states the response timeout, and learns the latency of requests that the store didn't hold */
export function createChangeRequests(
  options: ChangeRequestsOptions,
  results: Pick<CallResults, 'responseTimeoutMs' | 'recordLatency'>,
): ChangeRequests {
  const { client, kind, clock, era, news } = options;
  let isContradicted = false;

  async function race(
    from: StorePosition,
    waitMs: number,
    mode: ReadMode,
  ): Promise<StoreResult<StoreChangeBatch> | EarlyEnd> {
    const controller = new AbortController();
    const timeoutMs = results.responseTimeoutMs();
    const call = client.watch(kind, from, waitMs, timeoutMs, mode, controller.signal);
    const nextEra = era.waitForNext();
    const contradiction = waitMs > 0 ? news?.waitForContradiction(kind, from) : undefined;
    const result = await Promise.race([
      call,
      nextEra.begun.then(() => EarlyEnd.Era),
      ...(contradiction ? [contradiction.found.then(() => EarlyEnd.Contradicted)] : []),
    ]);
    nextEra.stop();
    contradiction?.stop();
    if (typeof result === 'string') controller.abort();
    return result;
  }

  function recordContradiction({ revision }: StorePosition, elapsedMs: number): void {
    const { newsFrom, newsRevision } = news!.describe(kind);
    const fields = { kind, elapsedMs, revision, newsFrom, newsRevision };
    options.logger.info('store-call-contradicted', fields);
    options.onCallEnded(kind, EarlyEnd.Contradicted);
  }

  return {
    async send(from, waitMs, mode) {
      const startedAtMs = clock();
      const result = await race(from, waitMs, mode);
      const elapsedMs = Math.round(clock() - startedAtMs);
      isContradicted = result === EarlyEnd.Contradicted;
      if (isContradicted) recordContradiction(from, elapsedMs);
      if (typeof result === 'string') return undefined;
      if (waitMs === 0 && result.ok) results.recordLatency(elapsedMs);
      return result;
    },
    wasContradicted: () => isContradicted,
  };
}
