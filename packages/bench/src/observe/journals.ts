/** Reads the journals of the backend servers' stand-ins. */
import { request } from 'undici';
import type { Fleet, FleetProcess } from '../fleet/index.js';
import type { BackendRun } from '../measure/index.js';

/** An entry of an engine's or application backend server's journal; times are epoch milliseconds. */
interface JournalEntry {
  benchRequest: string | null;
  /** Arrival at the engine; absent for application backend servers, which run a request when they take it. */
  arrivedAtMs?: number;
  /** Null while the request waits in the engine's own queue. */
  startedAtMs: number | null;
  endedAtMs: number | null;
}

async function readJournal(backend: FleetProcess): Promise<BackendRun[]> {
  const res = await request(`${backend.adminUrl}/admin/journal`);
  const { entries } = (await res.body.json()) as { entries: JournalEntry[] };
  const nowMs = Date.now();
  return entries.flatMap(({ benchRequest, arrivedAtMs, startedAtMs, endedAtMs }) => {
    if (benchRequest === null) return [];
    const endMs = endedAtMs ?? nowMs;
    const admittedMs = startedAtMs ?? endMs;
    // A request takes one of the server's slots from its arrival on, and a place in the engine's batch a step later.
    const startMs = arrivedAtMs ?? admittedMs;
    return [{ id: benchRequest, backend: backend.name, startMs, admittedMs, endMs }];
  });
}

/** Runs of every backend server so far. */
export async function readJournals(fleet: Pick<Fleet, 'backends'>): Promise<BackendRun[]> {
  return (await Promise.all(fleet.backends.map(readJournal))).flat();
}
