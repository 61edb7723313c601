/** Types of the versions of the servers' software and of the streams that began at them. */
import type { StreamsByVersion } from './stream-journal.js';
import type { VersionChange, VersionRecord } from './version-record.js';

/** What the store records, as read at one time. */
export interface StreamRecords {
  /** Versions at which streams may have begun, by service. */
  versions: Map<string, string[]>;
  /** Streams by version, as each router has recorded them. */
  streams: StreamsByVersion[];
}

/** Events of the store's records. */
export type VersionEvent =
  /** `record` is undefined if the store may not have recorded the change. */
  | {
      kind: 'versions-recorded';
      service: string;
      change: VersionChange;
      record: VersionRecord | undefined;
    }
  | { kind: 'streams-stored'; ok: boolean }
  /** `records` is undefined if they could not be read. */
  | { kind: 'streams-read'; records: StreamRecords | undefined };

/** Effects on the store's records; each is answered by one event. */
export type VersionEffect =
  | { kind: 'record-versions'; service: string; change: VersionChange }
  | { kind: 'store-streams'; streams: StreamsByVersion }
  | { kind: 'read-streams' };
