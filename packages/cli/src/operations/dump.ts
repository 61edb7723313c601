/** Shows the state of a process. */
import { ExitCode, fail, succeed } from '../outcome.js';
import type { CommandOutcome } from '../outcome.js';
import { fetchAdminJson } from './admin.js';
import type { AdminTarget } from './admin.js';

/** Fetches the state of a process from its admin server. */
export const dumpProcess = async (target: AdminTarget): Promise<CommandOutcome> => {
  const response = await fetchAdminJson(target, '/debug/state');
  if (!response.ok) {
    const message = `${target.address} does not respond: ${response.message}`;
    return fail(ExitCode.Unavailable, 'unreachable', message);
  }
  return succeed({ state: response.body }, [JSON.stringify(response.body, null, 2)]);
};
