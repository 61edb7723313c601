/** State of the versions of the servers' software and of the streams that began at them. */
import { createRecordedVersions } from './recorded-versions.js';
import type { RecordedVersions } from './recorded-versions.js';
import { createStreamJournal } from './stream-journal.js';
import type { StreamJournal } from './stream-journal.js';

/** Requests that resume a stream and wait for the store's records, with their random draws. */
export type WaitingRequests = Map<string, number>;

/** State of one router. */
export interface VersionState {
  recorded: RecordedVersions;
  /** Time before which the versions of a service aren't recorded again; infinite while a call is in progress. */
  recordAgainAtMs: Map<string, number>;
  /** Services whose versions have been recorded at least once, or could not be. */
  attemptedServices: Set<string>;
  journal: StreamJournal;
  /** State of the journal's copy in the store. */
  copy: {
    isWriting: boolean;
    writtenAtMs: number;
    changeCount: number;
    mixedServices: string;
  };
  waiting: WaitingRequests;
  /** Requests for which records are being read; undefined if no read is in progress. */
  reading: WaitingRequests | undefined;
  readAtMs: number;
}

/** Creates the state of a router that has just started. */
export function createVersionState(): VersionState {
  return {
    recorded: createRecordedVersions(),
    recordAgainAtMs: new Map(),
    attemptedServices: new Set(),
    journal: createStreamJournal(),
    copy: {
      isWriting: false,
      writtenAtMs: Number.NEGATIVE_INFINITY,
      changeCount: 0,
      mixedServices: '',
    },
    waiting: new Map(),
    reading: undefined,
    readAtMs: Number.NEGATIVE_INFINITY,
  };
}
