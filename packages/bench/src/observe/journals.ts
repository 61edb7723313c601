/** Reads the request journals of the backend server stand-ins. */
import { request } from 'undici';
import type { Fleet, FleetProcess } from '../fleet/index.js';
import type { BackendRun } from '../measure/index.js';

/** Journal entry of an engine or application stand-in; times are epoch milliseconds. */
interface JournalEntry {
  benchRequest: string | null;
  /** Null while the request waits in the engine's internal queue. */
  startedAtMs: number | null;
  endedAtMs: number | null;
}

async function readJournal(backend: FleetProcess): Promise<BackendRun[]> {
  const res = await request(`${backend.adminUrl}/admin/journal`);
  const { entries } = (await res.body.json()) as { entries: JournalEntry[] };
  const nowMs = Date.now();
  return entries.flatMap(({ benchRequest, startedAtMs, endedAtMs }) => {
    if (benchRequest === null) return [];
    const endMs = endedAtMs ?? nowMs;
    // A request in the engine's internal queue doesn't use a slot yet, so its run has no length.
    return [{ id: benchRequest, backend: backend.name, startMs: startedAtMs ?? endMs, endMs }];
  });
}

/** Returns the runs recorded by all backend servers so far. */
export async function readJournals(fleet: Pick<Fleet, 'backends'>): Promise<BackendRun[]> {
  return (await Promise.all(fleet.backends.map(readJournal))).flat();
}
