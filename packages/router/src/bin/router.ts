#!/usr/bin/env node
/** Entry point of the `kingcupsill-router` binary. */
import { readPackageVersion, runBinary } from '@kingcupsill/runtime';

import { startRouter } from '../router.js';
import { routerSchema } from '../settings.js';

await runBinary({
  name: 'kingcupsill-router',
  version: readPackageVersion(import.meta.url),
  description: 'Entry point of the fleet: queues requests by client account and relays responses.',
  schema: routerSchema,
  start: startRouter,
});
