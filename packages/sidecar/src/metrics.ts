/** Metrics of the sidecar. */
import type { SidecarState } from '@kingcupsill/core';
import { freeSlots } from '@kingcupsill/core';
import { registerStateGauges } from '@kingcupsill/fleet';
import type { Registry } from 'prom-client';

/** Registers gauges that read the reducer's state when scraped. */
export function registerSidecarMetrics(registry: Registry, state: () => SidecarState): void {
  registerStateGauges(registry, state, [
    {
      name: 'kingcupsill_slots',
      help: 'Requests that the backend server runs at once.',
      read: (now) => now.options.slots,
    },
    {
      name: 'kingcupsill_slots_running',
      help: 'Slots in which an attempt runs.',
      read: (now) => now.running,
    },
    {
      name: 'kingcupsill_slots_free',
      help: 'Slots neither running, staged nor promised.',
      read: (now) => Math.max(0, freeSlots(now)),
    },
    {
      name: 'kingcupsill_grants_open',
      help: 'Grants given and not used yet.',
      read: (now) => now.grants.size,
    },
  ]);
}
