/** Sample binary for the tests: draining takes `[sample] drain_ms`, and `[sample] fault` selects an error at startup. */
import { z } from 'zod';
import { processSection, readPackageVersion, runBinary } from '../../src/index.js';

const schema = z.strictObject({
  process: processSection,
  sample: z.strictObject({
    drain_ms: z.number().default(0).describe('time to drain'),
    fault: z.enum(['none', 'start', 'throw', 'reject']).default('none'),
  }),
});

const faults = {
  none: () => {},
  start: () => {
    throw new Error('no port');
  },
  throw: () => {
    setImmediate(() => {
      throw new Error('broken');
    });
  },
  reject: () => {
    void Promise.reject(new Error('broken'));
  },
};

await runBinary({
  name: 'sample',
  version: readPackageVersion(import.meta.url),
  description: 'Sample of a binary.',
  schema,
  start: async ({ settings, logger }) => {
    faults[settings.sample.fault]();
    const keepAlive = setInterval(() => {}, 60_000);
    logger.info('listening', { port: 1 });
    return Promise.resolve({
      drain: () =>
        new Promise((resolve) => {
          setTimeout(resolve, settings.sample.drainMs);
        }),
      close: () => {
        clearInterval(keepAlive);
        logger.info('sample-closed');
        return Promise.resolve();
      },
    });
  },
});
