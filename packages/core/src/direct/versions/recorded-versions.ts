/**
 * Versions of the servers' software at which streams may have begun, as the store records them for each service. A router begins no
 * resumable stream at a version before the store has recorded it; so a router that has lost its memory, or that sees other servers
 * than those of before, can tell whether a stream's version is certain.
 */

/** Recorded versions by service. */
export interface RecordedVersions {
  /** Applies the store's record of a service. */
  apply(service: string, versions: readonly string[], nowMs: number): void;
  /** Renews the versions that the servers of a service have; others are forgotten after a time. */
  renew(service: string, versions: readonly string[], nowMs: number): void;
  /** Returns whether streams may begin at the version. */
  has(service: string, version: string, nowMs: number): boolean;
  /** Returns whether streams of the service may have begun at several versions. */
  isMixed(service: string): boolean;
  /** Forgets all versions; the store may have lost them. */
  clear(): void;
  describe(): Record<string, string[]>;
}

/**
 * Time without a server of a version after which the version must be recorded again before use. It is shorter than the time after
 * which other routers remove the version from the record.
 */
const RENEWAL_MS = 60_000;

/** Creates the record of a router that has read nothing yet. */
export function createRecordedVersions(): RecordedVersions {
  const renewedAtMs = new Map<string, Map<string, number>>();

  return {
    apply(service, versions, nowMs) {
      renewedAtMs.set(service, new Map(versions.map((version) => [version, nowMs])));
    },
    renew(service, versions, nowMs) {
      const known = renewedAtMs.get(service);
      if (known === undefined) return;
      // An expired version isn't renewed: other routers may have removed it meanwhile.
      known.forEach((atMs, version) => {
        if (nowMs - atMs > RENEWAL_MS) known.delete(version);
        else if (versions.includes(version)) known.set(version, nowMs);
      });
    },
    has(service, version, nowMs) {
      const atMs = renewedAtMs.get(service)?.get(version);
      return atMs !== undefined && nowMs - atMs <= RENEWAL_MS;
    },
    isMixed: (service) => (renewedAtMs.get(service)?.size ?? 0) > 1,
    clear: () => renewedAtMs.clear(),
    describe: () =>
      Object.fromEntries([...renewedAtMs].map(([service, known]) => [service, [...known.keys()]])),
  };
}
