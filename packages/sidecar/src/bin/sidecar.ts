#!/usr/bin/env node
/** Entry point of the `kingcupsill-sidecar` binary. */
import { readPackageVersion, runBinary } from '@kingcupsill/runtime';

import { sidecarSchema } from '../settings.js';
import { startSidecar } from '../sidecar.js';

await runBinary({
  name: 'kingcupsill-sidecar',
  version: readPackageVersion(import.meta.url),
  description: 'Sidecar of a backend server: grants its slots to routers and runs their attempts.',
  schema: sidecarSchema,
  start: startSidecar,
});
