/** The `kingcupsill-router` process. */
import { readPackageVersion, runBinary } from '@kingcupsill/runtime';
import type { ReceivedSignals } from '@kingcupsill/runtime';
import { startRouter } from './router.js';
import { routerSchema } from './settings.js';

/** Runs the process until a signal ends it. Signals that were received before are handled as well. */
export async function runRouter(signals: ReceivedSignals): Promise<void> {
  await runBinary(
    {
      name: 'kingcupsill-router',
      version: readPackageVersion(import.meta.url),
      description:
        'Entry point of the fleet: queues requests by client account and relays responses.',
      schema: routerSchema,
      start: startRouter,
    },
    signals,
  );
}
