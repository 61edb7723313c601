/**
 * Availability zones that operators have evacuated: their servers get no new requests until the evacuation is withdrawn. What runs there
 * goes on. The store owns the fact; a router that has lost the store keeps to what it has seen last.
 */

/** Entry of an evacuated zone in the store. */
export interface EvacuationEntry {
  zone: string;
  /** Store-wide revision of the entry. */
  revision: number;
}

/** Evacuated zone as this router knows it. */
export interface Evacuation extends EvacuationEntry {
  /** Time at which this router learnt of it. */
  sinceMs: number;
}

/** Changes that a listing or an event has brought. */
export interface EvacuationChanges {
  evacuated: Evacuation[];
  withdrawn: Evacuation[];
}

/** Evacuated zones. */
export interface Evacuations {
  /** Returns false before the first listing, so that no zone is used whose evacuation isn't known yet. */
  isKnown(): boolean;
  isEvacuated(zone: string): boolean;
  list(): Evacuation[];
  replaceAll(entries: readonly EvacuationEntry[], nowMs: number): EvacuationChanges;
  add(entry: EvacuationEntry, nowMs: number): EvacuationChanges;
  remove(zone: string): EvacuationChanges;
}

/**
 * Creates the zones of a router that has read none.
 * @param areFollowed whether the deployment has evacuations at all
 */
export function createEvacuations(areFollowed: boolean): Evacuations {
  let isKnown = !areFollowed;
  const byZone = new Map<string, Evacuation>();

  function add({ zone, revision }: EvacuationEntry, nowMs: number): EvacuationChanges {
    const known = byZone.get(zone);
    byZone.set(zone, { zone, revision, sinceMs: known?.sinceMs ?? nowMs });
    return { evacuated: known === undefined ? [byZone.get(zone)!] : [], withdrawn: [] };
  }

  function remove(zone: string): EvacuationChanges {
    const known = byZone.get(zone);
    byZone.delete(zone);
    return { evacuated: [], withdrawn: known === undefined ? [] : [known] };
  }

  return {
    isKnown: () => isKnown,
    isEvacuated: (zone) => byZone.has(zone),
    list: () => [...byZone.values()],
    replaceAll(entries, nowMs) {
      isKnown = true;
      const listed = new Set(entries.map(({ zone }) => zone));
      const missing = [...byZone.keys()].filter((zone) => !listed.has(zone));
      return {
        withdrawn: missing.flatMap((zone) => remove(zone).withdrawn),
        evacuated: entries.flatMap((entry) => add(entry, nowMs).evacuated),
      };
    },
    add,
    remove,
  };
}
