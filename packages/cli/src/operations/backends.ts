/** Operations on backend servers. */
import type { BackendServer } from '@kingcupsill/core';

import { ExitCode, fail } from '../outcome.js';
import type { CommandOutcome } from '../outcome.js';
import { changeConfig } from './change.js';
import type { ChangeOptions, FleetContext } from './types.js';

type BackendOptions = ChangeOptions & { backend: string };

const patchExistingBackend = (
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
    const message = `backend server "${backend}" already exists`;
    return { ok: false, outcome: fail(ExitCode.Failure, 'exists', message) };
  });

/** Drains a backend server: it finishes running requests and accepts no new ones. `undo` ends the draining. */
export const drainBackend = (
  ctx: FleetContext,
  options: BackendOptions & { undo: boolean },
): Promise<CommandOutcome> => patchExistingBackend(ctx, options, { draining: !options.undo });

/** Removes a backend server. */
export const removeBackend = (
  ctx: FleetContext,
  options: BackendOptions,
): Promise<CommandOutcome> => patchExistingBackend(ctx, options, null);
