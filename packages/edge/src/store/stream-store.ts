/** Records of the versions of the servers' software, and of the streams that began at them, in the platform's store. */
import { changeVersionRecord } from '@kingcupsill/core/direct';
import type {
  StreamRecords,
  StreamsByVersion,
  VersionChange,
  VersionRecord,
} from '@kingcupsill/core/direct';
import { ReadMode, StoreFailure, StoreKind } from '@kingcupsill/prepared-platform';
import type { StoreClient, StoreObject, StoreResult } from '@kingcupsill/prepared-platform';
import type { Logger } from '@kingcupsill/runtime';
import { z } from 'zod';
import { listObjects, logUnreadable } from './list-objects.js';
import type { ReadObject } from './list-objects.js';
import type { StoreEra } from './store-era.js';
import { createStreamSweep, nameRun } from './stream-sweep.js';

/** Records in the store. None of the promises reject. */
export interface StreamStore {
  /** Changes the versions of a service. Returns their record, or undefined if the store may not have changed it. */
  changeVersions(service: string, change: VersionChange): Promise<VersionRecord | undefined>;
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
/** Writes of one change; several routers may change the record at the same time. */
const MAX_TRIES = 5;

/** Failures that state what the store has. */
const EXPECTED_FAILURES = new Set<StoreFailure>([StoreFailure.Conflict, StoreFailure.NotFound]);

const NO_VERSIONS: VersionRecord = { versions: [], unused: [] };
/** Stands for the versions of a record that can't be read, so that no stream is taken for one of the only version. */
const UNREADABLE: VersionRecord = { versions: ['unreadable'], unused: [] };

const versionsSchema = z.object({
  service: z.string(),
  versions: z.array(z.string()),
  unused: z.array(z.string()).default([]),
});
/** Record with any names; zod's leaves out those of prototypes. */
const recordOf = <TSchema extends z.ZodType>(entry: TSchema) =>
  z.custom<Record<string, z.infer<TSchema>>>(
    (value) =>
      z.looseObject({}).safeParse(value).success &&
      Object.values(value as object).every((item) => entry.safeParse(item).success),
  );
const streamsSchema = z.object({ streams: recordOf(recordOf(z.array(z.string()))) });

function readRecord(object: StoreObject): VersionRecord {
  const parsed = versionsSchema.safeParse(object.spec);
  return parsed.success ? parsed.data : UNREADABLE;
}

/** What one object records. */
interface StoredRecord {
  ofService: { service: string; versions: string[] } | undefined;
  ofRouter: StreamsByVersion | undefined;
}

/** Reads the record of an object; foreign objects have none. */
function readStoredRecord({ spec }: StoreObject): StoredRecord | undefined {
  const ofService = versionsSchema.safeParse(spec).data;
  const ofRouter = streamsSchema.safeParse(spec).data?.streams;
  return ofService === undefined && ofRouter === undefined ? undefined : { ofService, ofRouter };
}

/** Combines the records of all routers; of several records of a service, the last one holds. */
function combineRecords(records: readonly StoredRecord[]): StreamRecords {
  return {
    versions: new Map(
      records.flatMap(({ ofService }) =>
        ofService ? [[ofService.service, ofService.versions] as const] : [],
      ),
    ),
    streams: records.flatMap(({ ofRouter }) => (ofRouter ? [ofRouter] : [])),
  };
}

/** Decodes the records of all routers. */
export function decodeRecords(objects: readonly StoreObject[]): StreamRecords {
  return combineRecords(objects.flatMap((object) => readStoredRecord(object) ?? []));
}

/** Returns what the store has, as a result shows it; undefined if it shows nothing. */
function findStored(
  result: StoreResult<StoreObject> | undefined,
): { object: StoreObject | undefined } | undefined {
  if (result === undefined) return undefined;
  if (result.ok) return { object: result.value };
  if (result.failure === StoreFailure.NotFound) return { object: undefined };
  return result.current && { object: result.current };
}

/** Creates the records of one router. */
export function createStreamStore(options: StreamStoreOptions): StreamStore {
  const { client, era, router, incarnation, logger } = options;
  const ownName = nameRun(router, incarnation);
  let own: StoreObject | undefined;

  /** Returns the result if it is of the current era. */
  function check<TValue>(result: StoreResult<TValue>): StoreResult<TValue> | undefined {
    const isCurrent = era.observe(result.era);
    options.onCallEnded(result.ok ? 'ok' : result.failure);
    if (!result.ok && !EXPECTED_FAILURES.has(result.failure))
      logger.info('streams-call-failed', { failure: result.failure, detail: result.detail });
    return isCurrent ? result : undefined;
  }

  async function changeVersions(
    service: string,
    change: VersionChange,
  ): Promise<VersionRecord | undefined> {
    const name = `versions.${service}`;
    // Most routers only read: another one has recorded the change before.
    let result = check(await client.get(StoreKind.Streams, name));
    for (let tries = 0; tries < MAX_TRIES; tries += 1) {
      const known = findStored(result);
      if (known === undefined) return undefined;
      const { object } = known;
      const current = object === undefined ? NO_VERSIONS : readRecord(object);
      const next = changeVersionRecord(current, change);
      if (next === undefined) return object && current;
      const spec = { service, ...next };
      result = check(
        await (object === undefined
          ? client.create(StoreKind.Streams, name, spec)
          : client.replace(StoreKind.Streams, object, spec)),
      );
      if (result?.ok) return next;
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

  async function listAll<TValue>(
    kind: StoreKind,
    read: ReadObject<TValue>,
  ): Promise<TValue[] | undefined> {
    const results = {
      record: (result: StoreResult<unknown>) => check(result) !== undefined,
      responseTimeoutMs: () => READ_TIMEOUT_MS,
    };
    const isClosed = (): boolean => false;
    const kindOptions = { client, kind, era, read };
    const listing = await listObjects(kindOptions, results, ReadMode.Current, isClosed);
    logUnreadable({ kind, logger }, listing?.unreadable ?? []);
    return listing?.values;
  }

  const sweep = createStreamSweep({
    ownName,
    listAll,
    remove: async (name) => {
      check(await client.remove(StoreKind.Streams, name));
    },
  });

  return {
    changeVersions,
    storeStreams,
    async readStreams() {
      const records = await listAll(StoreKind.Streams, readStoredRecord);
      return records && combineRecords(records);
    },
    close: () => sweep.close(),
  };
}
