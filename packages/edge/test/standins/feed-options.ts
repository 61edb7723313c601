/** Options of a feed whose results don't matter to the test, except for those that it overrides. */
import { StoreKind } from '@kingcupsill/prepared-platform';
import type { StoreClient } from '@kingcupsill/prepared-platform';
import type { ObjectFeedOptions } from '../../src/store/object-feed.js';
import { createStoreAvailability } from '../../src/store/store-availability.js';
import { createStoreEra } from '../../src/store/store-era.js';
import { createRecordingLogger } from './recording-logger.js';

export function createFeedOptions(
  client: Partial<StoreClient>,
  overrides: Partial<ObjectFeedOptions> = {},
): ObjectFeedOptions {
  return {
    client: client as StoreClient,
    availability: createStoreAvailability(),
    era: createStoreEra(() => undefined),
    kind: StoreKind.Servers,
    watchWaitMs: 1500,
    batchDelayMs: 0,
    allowsStale: false,
    news: undefined,
    logger: createRecordingLogger(),
    random: () => 0,
    onCallEnded: () => undefined,
    onResponse: () => undefined,
    onListed: () => undefined,
    onChanged: () => undefined,
    ...overrides,
  };
}
