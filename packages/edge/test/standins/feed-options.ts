/** Options of a feed whose results don't matter to the test, except for those that it overrides. */
import { StoreKind } from '@kingcupsill/prepared-platform';
import type { StoreClient, StoreObject } from '@kingcupsill/prepared-platform';
import { planChangeTiming } from '../../src/store/change-timing.js';
import type { ObjectFeedOptions } from '../../src/store/object-feed.js';
import { createStoreAvailability } from '../../src/store/store-availability.js';
import { createStoreEra } from '../../src/store/store-era.js';
import { createRecordingLogger } from './recording-logger.js';

/** Timing of a deployment with a bound of four seconds, without delays after changes of the own watch. */
const TIMING = { ...planChangeTiming(4000), watchWaitMs: 1500, batchDelayMs: 0 };

type FeedOptions = ObjectFeedOptions<StoreObject>;

type FeedOverrides = Partial<Omit<FeedOptions, 'timing'>> & {
  timing?: Partial<FeedOptions['timing']>;
};

export function createFeedOptions(
  client: Partial<StoreClient>,
  { timing, ...overrides }: FeedOverrides = {},
): FeedOptions {
  return {
    client: client as StoreClient,
    availability: createStoreAvailability(),
    era: createStoreEra(() => undefined),
    kind: StoreKind.Servers,
    clock: () => performance.now(),
    timing: { ...TIMING, ...timing },
    allowsStale: false,
    news: undefined,
    logger: createRecordingLogger(),
    random: () => 0,
    onCallEnded: () => undefined,
    onResponse: () => undefined,
    read: (object) => object,
    onListed: () => undefined,
    onChanged: () => undefined,
    ...overrides,
  };
}
