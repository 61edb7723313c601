/** Records of the versions of the servers' software, and of the streams that began at them, in the platform's store. */
import type { StreamRecords, StreamsByVersion } from '@kingcupsill/core/direct';
import { ReadMode, StoreFailure, StoreKind } from '@kingcupsill/prepared-platform';
import type { StoreClient, StoreObject, StoreResult } from '@kingcupsill/prepared-platform';
import type { Logger } from '@kingcupsill/runtime';
import { z } from 'zod';
import type { StoreEra } from './store-era.js';

/** Records in the store. None of the promises reject. */
export interface StreamStore {
  /** Adds versions to those of a service. Returns all recorded ones, or undefined if the store may not have recorded them. */
  recordVersions(service: string, versions: readonly string[]): Promise<string[] | undefined>;
  /** Replaces this router's streams. Returns whether the store has recorded them. */
  storeStreams(streams: StreamsByVersion): Promise<boolean>;
  /** Returns the current records of all routers, or undefined if they could not be read. */
  readStreams(): Promise<StreamRecords | undefined>;
  close(): void;
}

/** Dependencies of the records. */
export interface StreamStoreOptions {
  client: StoreClient;
  era: StoreEra;
  router: string;
  /** Random id of this process run. The records of earlier runs are kept for the callers that resume their streams. */
  incarnation: string;
  logger: Logger;
  onCallEnded: (outcome: string) => void;
}

const READ_TIMEOUT_MS = 1000;
/** Several routers record the same versions at the same time. */
const MAX_CONFLICTS = 5;
/** Time after which no caller resumes a stream of an earlier run. */
const EARLIER_RUN_MS = 120_000;

const versionsSchema = z.object({ service: z.string(), versions: z.array(z.string()) });
const streamsSchema = z.object({
  streams: z.record(z.string(), z.record(z.string(), z.array(z.string()))),
});

function readVersions(object: StoreObject | undefined): string[] {
  const parsed = versionsSchema.safeParse(object?.spec);
  return parsed.success ? parsed.data.versions : [];
}

function decodeRecords(objects: readonly StoreObject[]): StreamRecords {
  const versions = new Map<string, string[]>();
  const streams: StreamsByVersion[] = [];
  objects.forEach(({ spec }) => {
    const ofService = versionsSchema.safeParse(spec);
    if (ofService.success) versions.set(ofService.data.service, ofService.data.versions);
    const ofRouter = streamsSchema.safeParse(spec);
    if (ofRouter.success) streams.push(ofRouter.data.streams);
  });
  return { versions, streams };
}

/** Creates the records of one router. */
export function createStreamStore(options: StreamStoreOptions): StreamStore {
  const { client, era, router, incarnation, logger } = options;
  const ownPrefix = `streams.${router}.`;
  const ownName = `${ownPrefix}${incarnation}`;
  let own: StoreObject | undefined;

  /** Returns the result if it is of the current era. */
  function check<TValue>(result: StoreResult<TValue>): StoreResult<TValue> | undefined {
    const isCurrent = era.observe(result.era);
    options.onCallEnded(result.ok ? 'ok' : result.failure);
    if (!result.ok && result.failure !== StoreFailure.Conflict)
      logger.info('streams-call-failed', { failure: result.failure, detail: result.detail });
    return isCurrent ? result : undefined;
  }

  async function recordVersions(
    service: string,
    versions: readonly string[],
  ): Promise<string[] | undefined> {
    const name = `versions.${service}`;
    const created = { service, versions: [...versions] };
    let result = check(await client.create(StoreKind.Streams, name, created));
    for (let conflicts = 0; conflicts < MAX_CONFLICTS; conflicts += 1) {
      if (result?.ok) return readVersions(result.value);
      if (result?.failure !== StoreFailure.Conflict || result.current === undefined)
        return undefined;
      const recorded = readVersions(result.current);
      const all = [...new Set([...recorded, ...versions])];
      if (all.length === recorded.length) return recorded;
      const spec = { service, versions: all };
      result = check(await client.replace(StoreKind.Streams, result.current, spec));
    }
    return undefined;
  }

  async function storeStreams(streams: StreamsByVersion): Promise<boolean> {
    const spec = { streams };
    const call =
      own === undefined
        ? client.create(StoreKind.Streams, ownName, spec)
        : client.replace(StoreKind.Streams, own, spec);
    const result = check(await call);
    if (result?.ok) {
      own = result.value;
      return true;
    }
    // After a lost answer, the object exists or has a later revision; after a restore, it may be missing.
    own = result?.failure === StoreFailure.Conflict ? result.current : undefined;
    return false;
  }

  async function listAll(): Promise<StoreObject[] | undefined> {
    const objects: StoreObject[] = [];
    let cursor: string | undefined;
    do {
      const page = check(
        await client.listPage(StoreKind.Streams, cursor, READ_TIMEOUT_MS, ReadMode.Current),
      );
      if (!page?.ok) return undefined;
      objects.push(...page.value.objects);
      cursor = page.value.nextCursor;
    } while (cursor !== undefined);
    return objects;
  }

  async function removeEarlierRuns(): Promise<void> {
    const objects = (await listAll()) ?? [];
    const earlier = objects.filter(({ name }) => name.startsWith(ownPrefix) && name !== ownName);
    await Promise.all(
      earlier.map(async ({ name }) => check(await client.remove(StoreKind.Streams, name))),
    );
  }

  const timer = setTimeout(removeEarlierRuns, EARLIER_RUN_MS);
  timer.unref();

  return {
    recordVersions,
    storeStreams,
    async readStreams() {
      const objects = await listAll();
      return objects && decodeRecords(objects);
    },
    close: () => clearTimeout(timer),
  };
}
