#!/usr/bin/env node
/** The `kingcupsill-sidecar` binary. */
import { readPackageVersion, runBinary } from '@kingcupsill/runtime';

import { sidecarSchema } from '../settings.js';
import { startSidecar } from '../sidecar.js';

await runBinary({
  name: 'kingcupsill-sidecar',
  version: readPackageVersion(import.meta.url),
  description: 'Process beside a backend server: grants its slots and runs attempts.',
  schema: sidecarSchema,
  start: startSidecar,
});
