/** The store's record of the versions of one service, and how it changes. */

/** Record of one service. */
export interface VersionRecord {
  /** Versions at which streams may have begun. */
  versions: string[];
  /** Those of them that are to be removed unless a router uses them again. */
  unused: string[];
}

/** Kind of a change. */
export const VersionChangeKind = {
  /** Streams are about to begin at the versions. */
  Use: 'use',
  /** No server has had the versions for a time. */
  MarkUnused: 'mark-unused',
  /** No server has had the versions since they were marked; no stream of them can be resumed any more. */
  Remove: 'remove',
} as const;
export type VersionChangeKind = (typeof VersionChangeKind)[keyof typeof VersionChangeKind];

/** Change of a record. */
export interface VersionChange {
  kind: VersionChangeKind;
  versions: string[];
}

type Apply = (record: VersionRecord, versions: readonly string[]) => VersionRecord;

const APPLY: Record<VersionChangeKind, Apply> = {
  [VersionChangeKind.Use]: ({ versions, unused }, used) => ({
    versions: [...new Set([...versions, ...used])],
    unused: unused.filter((version) => !used.includes(version)),
  }),
  [VersionChangeKind.MarkUnused]: ({ versions, unused }, marked) => ({
    versions,
    unused: [...new Set([...unused, ...marked.filter((version) => versions.includes(version))])],
  }),
  // A version that a router has used again since it was marked stays.
  [VersionChangeKind.Remove]: ({ versions, unused }, removed) => ({
    versions: versions.filter((version) => !removed.includes(version) || !unused.includes(version)),
    unused: unused.filter((version) => !removed.includes(version)),
  }),
};

/** Returns the changed record, or undefined if the change has no effect. */
export function changeVersionRecord(
  record: VersionRecord,
  { kind, versions }: VersionChange,
): VersionRecord | undefined {
  const next = APPLY[kind](record, versions);
  const isSame =
    next.versions.length === record.versions.length && next.unused.length === record.unused.length;
  return isSame ? undefined : next;
}
