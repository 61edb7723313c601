/** Shows which version of the configuration each process has in force. */
import type { ConfigStore, InstanceClient } from '@kingcupsill/platform';
import { z } from 'zod';

import { ExitCode, fail, succeed } from '../outcome.js';
import type { CommandOutcome } from '../outcome.js';
import { fetchAdminJson } from './admin.js';
import { toReadFailureOutcome } from './failures.js';

/** Maximum number of concurrent calls to processes. */
const MAX_CONCURRENT_CALLS = 32;

/** Part of a process's state dump that this command reads. */
const processStateSchema = z.object({
  /** Returned by `getConfigStatus` of the core package. */
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
  /** Admin addresses of processes; if empty, the hosts of the instance list with `adminPort`. */
  addresses: string[];
  adminPort?: number;
  token?: string;
  /** True if a process that is behind or unreachable is a failure. */
  requireCurrent: boolean;
}

export interface StatusClients {
  store: ConfigStore;
  instances: InstanceClient;
}

interface ReachableProcess {
  address: string;
  reachable: true;
  id: string;
  role: string;
  config: z.infer<typeof processStateSchema>['status'];
}

interface UnreachableProcess {
  address: string;
  reachable: false;
  message: string;
}

type ProcessResult = ReachableProcess | UnreachableProcess;

/** Row of the output; `behind` is the number of versions between the process and the newest version. */
type ProcessRow = (ReachableProcess & { behind: number }) | UnreachableProcess;

type AddressesOutcome = { ok: true; addresses: string[] } | { ok: false; outcome: CommandOutcome };

const findAddresses = async (
  { instances }: StatusClients,
  { addresses, adminPort }: StatusOptions,
): Promise<AddressesOutcome> => {
  if (addresses.length > 0) return { ok: true, addresses };
  if (adminPort === undefined) {
    const message = 'no processes given: use --admin, or set [fleet] admin or admin_port';
    return { ok: false, outcome: fail(ExitCode.Usage, 'no_addresses', message) };
  }
  const listed = await instances.list();
  if (!listed.ok) return { ok: false, outcome: toReadFailureOutcome(listed) };
  const hosts = listed.instances.map(({ address }) => address.replace(/:\d+$/, ''));
  return { ok: true, addresses: hosts.map((host) => `${host}:${adminPort}`) };
};

const queryProcess = async (address: string, token: string | undefined): Promise<ProcessResult> => {
  const response = await fetchAdminJson({ address, token }, '/debug/state');
  if (!response.ok) return { address, reachable: false, message: response.message };
  const parsed = processStateSchema.safeParse(response.body);
  if (!parsed.success) {
    return { address, reachable: false, message: 'the response is not a process state' };
  }
  const { status, config } = parsed.data;
  return { address, reachable: true, id: config.self.id, role: config.self.role, config: status };
};

const queryProcesses = async (
  addresses: string[],
  token: string | undefined,
): Promise<ProcessResult[]> => {
  const rows: ProcessResult[] = [];
  for (let start = 0; start < addresses.length; start += MAX_CONCURRENT_CALLS) {
    const batch = addresses.slice(start, start + MAX_CONCURRENT_CALLS);
    rows.push(...(await Promise.all(batch.map((address) => queryProcess(address, token)))));
  }
  return rows;
};

const newestKnownVersion = (result: ProcessResult): number =>
  result.reachable ? Math.max(result.config.version, result.config.newestVersion) : 0;

const toRow = (result: ProcessResult, newestVersion: number): ProcessRow =>
  result.reachable ? { ...result, behind: newestVersion - result.config.version } : result;

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
  /** Undefined if the object service is unavailable. */
  storeVersion?: number;
  rows: ProcessRow[];
}

const summarise = (status: FleetStatus, requireCurrent: boolean): CommandOutcome => {
  const { newestVersion, storeVersion, rows } = status;
  const current = rows.filter((row) => row.reachable && row.behind === 0).length;
  const data = { newestVersion, storeVersion, current, processes: rows };
  const lines = [
    storeVersion === undefined
      ? `newest version known to processes: ${newestVersion} (the object service is unavailable)`
      : `newest version: ${newestVersion}`,
    ...rows.map(describeRow),
    `${current} of ${rows.length} processes have version ${newestVersion} in force`,
  ];
  if (rows.length > 0 && rows.every((row) => !row.reachable)) {
    return fail(ExitCode.Unavailable, 'unreachable', 'no process responded', { data, lines });
  }
  if (requireCurrent && current < rows.length) {
    return fail(
      ExitCode.Failure,
      'not_current',
      'not all processes have the newest version in force',
      { data, lines },
    );
  }
  return succeed(data, lines);
};

/** Queries the version in force on each process and compares it with the newest version. */
export const showStatus = async (
  clients: StatusClients,
  options: StatusOptions,
): Promise<CommandOutcome> => {
  const addressesOutcome = await findAddresses(clients, options);
  if (!addressesOutcome.ok) return addressesOutcome.outcome;
  const [loaded, results] = await Promise.all([
    clients.store.load(),
    queryProcesses(addressesOutcome.addresses, options.token),
  ]);
  const storeVersion = loaded.ok ? loaded.config.version : undefined;
  const newestVersion = Math.max(storeVersion ?? 0, ...results.map(newestKnownVersion));
  const rows = results.map((result) => toRow(result, newestVersion));
  return summarise({ newestVersion, storeVersion, rows }, options.requireCurrent);
};
