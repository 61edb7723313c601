/** Which servers are cold, from their entries, their starts and the evacuations that are withdrawn. */
import type { DirectEffect } from '../events.js';
import type { DirectState } from '../state.js';
import type { BackendServerEntry, ColdServerSpec } from '../types.js';
import type { RegisteredServer } from './server-index.js';
import { serverKey } from './server-registry.js';

/** Maximum time for which a server is taken to be cold; a longer one is a mistake. */
const MAX_COLD_MS = 600_000;

/** What shows that a server is cold, for logs. */
type Source = 'entry' | 'start' | 'evacuation';

interface ColdStatement {
  coldForMs: number;
  source: Source;
}

/** Returns for how long a server is cold that has not stated it, or not in a form that can be read. */
function assumeColdStart(
  state: DirectState,
  entry: BackendServerEntry,
  { coldStartMs }: ColdServerSpec,
): ColdStatement | undefined {
  const isUnreadable = entry.invalidColdFor !== undefined;
  // Servers that this router finds at its own start have usually run for long.
  const hasStarted = state.hasServerList && state.registry.get(serverKey(entry)) === undefined;
  return isUnreadable || hasStarted ? { coldForMs: coldStartMs, source: 'start' } : undefined;
}

function noteCold(server: string, { coldForMs, source }: ColdStatement): DirectEffect {
  return { kind: 'note', event: 'server-cold', fields: { server, coldForMs, source } };
}

/** Records what a new or changed entry shows; to be called before the entry is registered. */
export function recordWarmUp(
  state: DirectState,
  entry: BackendServerEntry,
  nowMs: number,
): DirectEffect[] {
  const spec = state.routeTable?.findService(entry.service)?.cold;
  if (spec === undefined) return [];
  const { coldForMs, invalidColdFor } = entry;
  const server = serverKey(entry);
  const statement: ColdStatement | undefined =
    coldForMs === undefined
      ? assumeColdStart(state, entry, spec)
      : { coldForMs: Math.min(coldForMs, MAX_COLD_MS), source: 'entry' };
  if (statement === undefined) return [];
  const wasCold = state.warmUpLimits.record(server, spec, statement.coldForMs, nowMs);
  const isCold = statement.coldForMs > 0;
  const effects = isCold && !wasCold ? [noteCold(server, statement)] : [];
  if (invalidColdFor === undefined) return effects;
  const fields = { server, coldFor: invalidColdFor, assumedMs: statement.coldForMs };
  return [...effects, { kind: 'note', event: 'server-cold-malformed', fields }];
}

/** Treats the servers of a zone as cold whose evacuation has been withdrawn: they may have become so meanwhile. */
export function recordZoneWarmUp(state: DirectState, zone: string, nowMs: number): DirectEffect[] {
  const record = ({ key, entry }: RegisteredServer): DirectEffect[] => {
    const spec = state.routeTable?.findService(entry.service)?.cold;
    if (entry.zone !== zone || spec === undefined) return [];
    const coldForMs = Math.max(spec.coldStartMs, state.warmUpLimits.coldForMs(key, nowMs));
    state.warmUpLimits.record(key, spec, coldForMs, nowMs);
    return [noteCold(key, { coldForMs, source: 'evacuation' })];
  };
  return state.registry.all().flatMap(record);
}
