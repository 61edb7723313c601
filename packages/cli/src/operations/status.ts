/** Which processes have which version of the configuration in force. */
import type { ConfigStore, InstanceClient } from '@kingcupsill/platform';
import { z } from 'zod';

import { ExitCode, fail, succeed } from '../outcome.js';
import type { CommandOutcome } from '../outcome.js';
import { fetchAdmin } from './admin.js';
import { describeReadFailure } from './failures.js';

/** Calls to processes under way at once. */
const CONCURRENT_CALLS = 32;

/** What this command reads of a process's state. */
const processStateSchema = z.object({
  /** See `getConfigStatus` of the core package. */
  status: z.object({
    version: z.number().int(),
    inForceForMs: z.number(),
    newestVersion: z.number().int(),
    behindForMs: z.number(),
    isWatcher: z.boolean(),
    storeAnsweredAgoMs: z.number().optional(),
  }),
  config: z.object({ self: z.object({ id: z.string(), role: z.string() }) }),
});

export interface StatusOptions {
  /** Admin addresses; without any, those of the instance list with `adminPort`. */
  addresses: string[];
  adminPort?: number;
  token?: string;
  /** Whether a process that is behind or does not answer is a failure. */
  requireCurrent: boolean;
}

export interface StatusSources {
  store: ConfigStore;
  instances: InstanceClient;
}

interface ReachedProcess {
  address: string;
  reachable: true;
  id: string;
  role: string;
  config: z.infer<typeof processStateSchema>['status'];
}

interface SilentProcess {
  address: string;
  reachable: false;
  message: string;
}

type AskedProcess = ReachedProcess | SilentProcess;

/** `behind` is the number of versions that the process lacks. */
type ProcessRow = (ReachedProcess & { behind: number }) | SilentProcess;

type AddressesOutcome = { ok: true; addresses: string[] } | { ok: false; outcome: CommandOutcome };

const findAddresses = async (
  { instances }: StatusSources,
  { addresses, adminPort }: StatusOptions,
): Promise<AddressesOutcome> => {
  if (addresses.length > 0) return { ok: true, addresses };
  if (adminPort === undefined) {
    const message = 'name processes by --admin, or set [fleet] admin or admin_port';
    return { ok: false, outcome: fail(ExitCode.Usage, 'no_addresses', message) };
  }
  const listed = await instances.list();
  if (!listed.ok) return { ok: false, outcome: describeReadFailure(listed) };
  const hosts = listed.instances.map(({ address }) => address.replace(/:\d+$/, ''));
  return { ok: true, addresses: hosts.map((host) => `${host}:${adminPort}`) };
};

const askProcess = async (address: string, token: string | undefined): Promise<AskedProcess> => {
  const answer = await fetchAdmin({ address, token }, '/debug/state');
  if (!answer.ok) return { address, reachable: false, message: answer.message };
  const parsed = processStateSchema.safeParse(answer.body);
  if (!parsed.success) {
    return { address, reachable: false, message: 'the answer is not the state of a process' };
  }
  const { status, config } = parsed.data;
  return { address, reachable: true, id: config.self.id, role: config.self.role, config: status };
};

const askAll = async (addresses: string[], token: string | undefined): Promise<AskedProcess[]> => {
  const rows: AskedProcess[] = [];
  for (let start = 0; start < addresses.length; start += CONCURRENT_CALLS) {
    const batch = addresses.slice(start, start + CONCURRENT_CALLS);
    rows.push(...(await Promise.all(batch.map((address) => askProcess(address, token)))));
  }
  return rows;
};

const newestKnown = (asked: AskedProcess): number =>
  asked.reachable ? Math.max(asked.config.version, asked.config.newestVersion) : 0;

const toRow = (asked: AskedProcess, newestVersion: number): ProcessRow =>
  asked.reachable ? { ...asked, behind: newestVersion - asked.config.version } : asked;

const describeRow = (row: ProcessRow): string => {
  if (!row.reachable) return `${row.address}  not reachable: ${row.message}`;
  const { id, role, config } = row;
  const seconds = (ms: number) => `${(ms / 1000).toFixed(1)} s`;
  const state =
    row.behind === 0
      ? `in force for ${seconds(config.inForceForMs)}`
      : `behind by ${row.behind}, known for ${seconds(config.behindForMs)}`;
  return `${id}  ${role}  version ${config.version}  ${state}`;
};

interface FleetStatus {
  newestVersion: number;
  /** Undefined when the object service is not available. */
  storeVersion?: number;
  rows: ProcessRow[];
}

const summarise = (status: FleetStatus, requireCurrent: boolean): CommandOutcome => {
  const { newestVersion, storeVersion, rows } = status;
  const current = rows.filter((row) => row.reachable && row.behind === 0).length;
  const data = { newestVersion, storeVersion, current, processes: rows };
  const lines = [
    storeVersion === undefined
      ? `newest version known to processes: ${newestVersion} (the object service is not available)`
      : `newest version: ${newestVersion}`,
    ...rows.map(describeRow),
    `${current} of ${rows.length} processes have version ${newestVersion} in force`,
  ];
  if (rows.length > 0 && rows.every((row) => !row.reachable)) {
    return fail(ExitCode.Unavailable, 'unreachable', 'no process answered', { data, lines });
  }
  if (requireCurrent && current < rows.length) {
    return fail(ExitCode.Failure, 'not_current', 'not all processes are current', { data, lines });
  }
  return succeed(data, lines);
};

/** Asks processes for the version in force and compares it with the newest. */
export const showStatus = async (
  sources: StatusSources,
  options: StatusOptions,
): Promise<CommandOutcome> => {
  const found = await findAddresses(sources, options);
  if (!found.ok) return found.outcome;
  const [loaded, asked] = await Promise.all([
    sources.store.load(),
    askAll(found.addresses, options.token),
  ]);
  const storeVersion = loaded.ok ? loaded.config.version : undefined;
  const newestVersion = Math.max(storeVersion ?? 0, ...asked.map(newestKnown));
  const rows = asked.map((answer) => toRow(answer, newestVersion));
  return summarise({ newestVersion, storeVersion, rows }, options.requireCurrent);
};
