/** Types of the versions of the servers' software and of the streams that began at them. */
import type { StreamsByVersion } from './stream-journal.js';

/** What the store records, as read at one time. */
export interface StreamRecords {
  /** Versions at which streams may have begun, by service. */
  versions: Map<string, string[]>;
  /** Streams by version, as each router has recorded them. */
  streams: StreamsByVersion[];
}

/** Events of the store's records. */
export type VersionEvent =
  /** `versions` is undefined if the store has not recorded them. */
  | { kind: 'versions-recorded'; service: string; versions: string[] | undefined }
  | { kind: 'streams-stored'; ok: boolean }
  /** `records` is undefined if they could not be read. */
  | { kind: 'streams-read'; records: StreamRecords | undefined };

/** Effects on the store's records; each is answered by one event. */
export type VersionEffect =
  | { kind: 'record-versions'; service: string; versions: string[] }
  | { kind: 'store-streams'; streams: StreamsByVersion }
  | { kind: 'read-streams' };
