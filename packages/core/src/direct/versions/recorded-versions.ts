/**
 * Versions of the servers' software at which streams may have begun, as the store records them for each service. A router begins no
 * resumable stream at a version before the store has recorded it; so a router that has lost its memory, or that sees other servers
 * than those of before, can tell whether a stream's version is certain.
 */
import { VersionChangeKind } from './version-record.js';
import type { VersionChange, VersionRecord } from './version-record.js';

/** Recorded versions by service. */
export interface RecordedVersions {
  /** Applies the store's record of a service. `usedVersions` were recorded for use by this router. */
  apply(
    service: string,
    record: VersionRecord,
    usedVersions: readonly string[],
    nowMs: number,
  ): void;
  /** Renews the versions that the servers of a service have. */
  renew(service: string, versions: readonly string[], nowMs: number): void;
  /** Returns whether streams may begin at the version. */
  has(service: string, version: string, nowMs: number): boolean;
  /** Returns whether streams of the service may have begun at several versions. */
  isMixed(service: string): boolean;
  /**
   * Returns how the record is to change, as the servers of the service have these versions; undefined if it is up to date.
   * @param maxWaitMs longest time for which callers wait for a stream
   */
  findChange(
    service: string,
    versions: readonly string[],
    maxWaitMs: number,
    nowMs: number,
  ): VersionChange | undefined;
  /** Forgets all versions; the store may have lost them. */
  clear(): void;
  describe(): Record<string, string[]>;
}

interface RecordedVersion {
  /** Time at which a server had the version, or the store recorded it, last. */
  renewedAtMs: number;
  /** Time at which the store has last shown the version to be recorded for use. */
  confirmedAtMs: number;
  /** Time since which the version is known to be marked as unused. */
  unusedSinceMs: number | undefined;
}

/** Time without a server of a version after which it is marked as unused, and must be recorded again before it is used. */
const UNUSED_MS = 60_000;
/** Time from the mark to the removal, beyond the longest time for which callers wait. */
const REMOVAL_MARGIN_MS = 60_000;
/** Time after which a used version is confirmed again, so that no router removes it because it sees none of its servers. */
const CONFIRMATION_MS = 60_000;

/** Creates the record of a router that has read nothing yet. */
export function createRecordedVersions(): RecordedVersions {
  const byService = new Map<string, Map<string, RecordedVersion>>();

  const isRenewed = ({ renewedAtMs }: RecordedVersion, nowMs: number): boolean =>
    nowMs - renewedAtMs <= UNUSED_MS;

  function has(service: string, version: string, nowMs: number): boolean {
    const recorded = byService.get(service)?.get(version);
    return recorded !== undefined && isRenewed(recorded, nowMs);
  }

  const isMixed = (service: string): boolean => (byService.get(service)?.size ?? 0) > 1;

  function needsConfirmation(service: string, versions: readonly string[], nowMs: number): boolean {
    const known = byService.get(service);
    return versions.some(
      (version) => nowMs - (known?.get(version)?.confirmedAtMs ?? nowMs) > CONFIRMATION_MS,
    );
  }

  function findUnused(
    service: string,
    maxWaitMs: number,
    nowMs: number,
  ): VersionChange | undefined {
    const removalMs = maxWaitMs + REMOVAL_MARGIN_MS;
    const unused = [...(byService.get(service) ?? [])].filter(
      ([, recorded]) => !isRenewed(recorded, nowMs),
    );
    const unmarked = unused.filter(([, { unusedSinceMs }]) => unusedSinceMs === undefined);
    const removable = unused.filter(
      ([, { unusedSinceMs }]) => unusedSinceMs !== undefined && nowMs - unusedSinceMs > removalMs,
    );
    const kind = unmarked.length > 0 ? VersionChangeKind.MarkUnused : VersionChangeKind.Remove;
    const versions = (unmarked.length > 0 ? unmarked : removable).map(([version]) => version);
    return versions.length > 0 ? { kind, versions } : undefined;
  }

  return {
    apply(service, { versions, unused }, usedVersions, nowMs) {
      const known = byService.get(service);
      const next = versions.map((version): [string, RecordedVersion] => {
        const previous = known?.get(version);
        const unusedSinceMs = unused.includes(version)
          ? (previous?.unusedSinceMs ?? nowMs)
          : undefined;
        const isUsed = previous === undefined || usedVersions.includes(version);
        const renewedAtMs = isUsed ? nowMs : previous.renewedAtMs;
        return [version, { renewedAtMs, confirmedAtMs: nowMs, unusedSinceMs }];
      });
      byService.set(service, new Map(next));
    },
    renew(service, versions, nowMs) {
      // A version that has expired isn't renewed: other routers may have removed it meanwhile.
      byService.get(service)?.forEach((recorded, version) => {
        if (versions.includes(version) && isRenewed(recorded, nowMs)) recorded.renewedAtMs = nowMs;
      });
    },
    has,
    isMixed,
    findChange(service, versions, maxWaitMs, nowMs) {
      const missing = versions.filter((version) => !has(service, version, nowMs));
      if (missing.length > 0) return { kind: VersionChangeKind.Use, versions: missing };
      if (isMixed(service) && needsConfirmation(service, versions, nowMs))
        return { kind: VersionChangeKind.Use, versions: [...versions] };
      // Without any server, nothing shows which versions will come back.
      return versions.length > 0 ? findUnused(service, maxWaitMs, nowMs) : undefined;
    },
    clear: () => byService.clear(),
    describe: () =>
      Object.fromEntries([...byService].map(([service, known]) => [service, [...known.keys()]])),
  };
}
