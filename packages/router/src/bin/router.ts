#!/usr/bin/env node
/** The `kingcupsill-router` binary. */
import { readPackageVersion, runBinary } from '@kingcupsill/runtime';

import { startRouter } from '../router.js';
import { routerSchema } from '../settings.js';

await runBinary({
  name: 'kingcupsill-router',
  version: readPackageVersion(import.meta.url),
  description: 'Entry process: queues requests by client account and relays answers.',
  schema: routerSchema,
  start: startRouter,
});
