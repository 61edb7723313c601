#!/usr/bin/env node
/** Runs one emulated external system as a process. */
import { createAdminServer, readPackageVersion, runBinary } from '@kingcupsill/runtime';
import type { BinaryContext, RunningProcess } from '@kingcupsill/runtime';
import { createAppStandin, createEngineStandin, createPlatformStandin } from '../index.js';
import { settingsSchema } from './settings.js';

const createStandin = ({ settings }: BinaryContext<typeof settingsSchema>) => {
  const { kind, ...common } = settings.standin;
  const factories = {
    platform: () => createPlatformStandin({ ...common, ...settings.platform }),
    engine: () => createEngineStandin({ ...common, ...settings.engine }),
    app: () => createAppStandin({ ...common, ...settings.app }),
  } as const;
  return factories[kind]();
};

const start = async (ctx: BinaryContext<typeof settingsSchema>): Promise<RunningProcess> => {
  const { settings, logger, registry } = ctx;
  const standin = await createStandin(ctx);
  const admin = await createAdminServer({
    ...settings.admin,
    registry,
    logger,
    dump: standin.state,
    ready: () => ({ ok: true }),
  });
  const { port, url } = standin;
  logger.info('listening', { kind: settings.standin.kind, port, url, adminPort: admin.port });
  return {
    drain: () => Promise.resolve(),
    close: async () => {
      await standin.close();
      await admin.close();
    },
  };
};

await runBinary({
  name: 'kingcupsill-standin',
  version: readPackageVersion(import.meta.url),
  description: 'Emulates a platform service, model engine or application backend server.',
  schema: settingsSchema,
  start,
});
