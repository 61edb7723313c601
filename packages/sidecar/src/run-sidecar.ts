/** The `kingcupsill-sidecar` process. */
import { readPackageVersion, runBinary } from '@kingcupsill/runtime';
import type { ReceivedSignals } from '@kingcupsill/runtime';
import { startSidecar } from './sidecar.js';
import { sidecarSchema } from './settings.js';

/** Runs the process until a signal ends it. Signals that were received before are handled as well. */
export async function runSidecar(signals: ReceivedSignals): Promise<void> {
  await runBinary(
    {
      name: 'kingcupsill-sidecar',
      version: readPackageVersion(import.meta.url),
      description:
        'Sidecar of a backend server: grants its slots to routers and runs their attempts.',
      schema: sidecarSchema,
      start: startSidecar,
    },
    signals,
  );
}
