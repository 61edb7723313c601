/** Reads the journals of the backend servers' stand-ins. */
import { request } from 'undici';
import type { Fleet, FleetProcess } from '../fleet/index.js';
import type { BackendRun } from '../measure/index.js';

/** An entry of an engine's or application backend server's journal; times are epoch milliseconds. */
interface JournalEntry {
  benchRequest: string | null;
  /** Null while the request waits in the engine's own queue. */
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
    // A request that waits in the engine's own queue uses no slot yet.
    return [{ id: benchRequest, backend: backend.name, startMs: startedAtMs ?? endMs, endMs }];
  });
}

/** Runs of every backend server so far. */
export async function readJournals(fleet: Pick<Fleet, 'backends'>): Promise<BackendRun[]> {
  return (await Promise.all(fleet.backends.map(readJournal))).flat();
}
