/** State of a process. */
import { ExitCode, fail, succeed } from '../outcome.js';
import type { CommandOutcome } from '../outcome.js';
import { fetchAdminJson } from './admin.js';
import type { AdminTarget } from './admin.js';

/** Fetches the state that a process shows at its admin server. */
export const dumpProcess = async (target: AdminTarget): Promise<CommandOutcome> => {
  const answer = await fetchAdminJson(target, '/debug/state');
  if (!answer.ok) {
    const message = `${target.address} does not answer: ${answer.message}`;
    return fail(ExitCode.Unavailable, 'unreachable', message);
  }
  return succeed({ state: answer.body }, [JSON.stringify(answer.body, null, 2)]);
};
