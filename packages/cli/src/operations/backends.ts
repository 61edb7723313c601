/** Operations on backend servers. */
import type { BackendServer } from '@kingcupsill/core';

import { ExitCode, fail } from '../outcome.js';
import type { CommandOutcome } from '../outcome.js';
import { changeConfig } from './change.js';
import type { ChangeOptions, FleetContext } from './types.js';

type BackendOptions = ChangeOptions & { backend: string };

const changeExisting = (
  ctx: FleetContext,
  options: BackendOptions,
  change: Partial<BackendServer> | null,
): Promise<CommandOutcome> =>
  changeConfig(ctx, options, ({ backends }) => {
    const { backend } = options;
    if (Object.hasOwn(backends, backend)) {
      return { ok: true, patch: { backends: { [backend]: change } } };
    }
    const message = `backend server "${backend}" does not exist`;
    return { ok: false, outcome: fail(ExitCode.Failure, 'not_found', message) };
  });

/** Adds a backend server. */
export const addBackend = (
  ctx: FleetContext,
  options: BackendOptions & { server: BackendServer },
): Promise<CommandOutcome> =>
  changeConfig(ctx, options, ({ backends }) => {
    const { backend, server } = options;
    if (!Object.hasOwn(backends, backend)) {
      return { ok: true, patch: { backends: { [backend]: server } } };
    }
    const message = `backend server "${backend}" exists already`;
    return { ok: false, outcome: fail(ExitCode.Failure, 'exists', message) };
  });

/** Lets a backend server finish what runs and take nothing new; `undo` lets it take work again. */
export const drainBackend = (
  ctx: FleetContext,
  options: BackendOptions & { undo: boolean },
): Promise<CommandOutcome> => changeExisting(ctx, options, { draining: !options.undo });

/** Removes a backend server. */
export const removeBackend = (
  ctx: FleetContext,
  options: BackendOptions,
): Promise<CommandOutcome> => changeExisting(ctx, options, null);
