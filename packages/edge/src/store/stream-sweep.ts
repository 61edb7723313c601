/** Removal of the stored streams of router runs that have ended. */
import { StoreKind } from '@kingcupsill/prepared-platform';
import { repeatEvery } from '@kingcupsill/runtime';
import type { Closable } from '../closable.js';
import type { ReadObject } from './list-objects.js';
import { readRouterEntry } from './router-registration.js';

/** Dependencies of the sweep. */
export interface StreamSweepOptions {
  /** Name of the object with this run's streams. */
  ownName: string;
  /** Lists what is read of the objects of a kind; undefined if that fails. */
  listAll: <TValue>(kind: StoreKind, read: ReadObject<TValue>) => Promise<TValue[] | undefined>;
  /** Removes stored streams. */
  remove: (name: string) => Promise<void>;
  /** @default 120,000 ms; no caller resumes a stream of a run that has ended for so long */
  periodMs?: number;
}

const PERIOD_MS = 120_000;
/** The first sweep finds the runs that have ended, the second one removes them. */
const SWEEPS = 2;
const NAME_PREFIX = 'streams.';

/** Name of the object with the streams of one run of a router. */
export function nameRun(router: string, incarnation: string | undefined): string {
  return `${NAME_PREFIX}${router}.${incarnation}`;
}

/** Sweeps twice after the start of a process: most runs end because their process is replaced. */
export function createStreamSweep(options: StreamSweepOptions): Closable {
  const { ownName, listAll, remove } = options;
  let found = new Set<string>();
  let sweeps = 0;

  async function listEndedRuns(): Promise<string[]> {
    const [stored, routers] = await Promise.all([
      listAll(StoreKind.Streams, ({ name }) => (name.startsWith(NAME_PREFIX) ? name : undefined)),
      listAll(StoreKind.Routers, (object) =>
        nameRun(object.name, readRouterEntry(object)?.incarnation),
      ),
    ]);
    if (stored === undefined || routers === undefined) return [];
    const running = new Set(routers);
    return stored.filter((name) => name !== ownName && !running.has(name));
  }

  const timer = repeatEvery(options.periodMs ?? PERIOD_MS, async () => {
    sweeps += 1;
    if (sweeps === SWEEPS) await timer.close();
    const ended = await listEndedRuns();
    await Promise.all(ended.filter((name) => found.has(name)).map(remove));
    found = new Set(ended);
  });
  return timer;
}
