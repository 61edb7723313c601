/** Prometheus metrics of the sidecar. */
import type { SidecarState } from '@kingcupsill/core';
import { freeSlots } from '@kingcupsill/core';
import { registerStateGauges } from '@kingcupsill/fleet';
import type { Registry } from 'prom-client';

/** Registers gauges computed from the reducer's state at scrape time. */
export function registerSidecarMetrics(registry: Registry, currentState: () => SidecarState): void {
  registerStateGauges(registry, currentState, [
    {
      name: 'kingcupsill_slots',
      help: 'Number of requests that the backend server runs concurrently.',
      read: (state) => state.options.slots,
    },
    {
      name: 'kingcupsill_slots_running',
      help: 'Slots with a running attempt.',
      read: (state) => state.running,
    },
    {
      name: 'kingcupsill_slots_free',
      help: 'Slots that are not running an attempt, staged or granted.',
      read: (state) => Math.max(0, freeSlots(state)),
    },
    {
      name: 'kingcupsill_grants_open',
      help: 'Grants that are not used yet.',
      read: (state) => state.grants.size,
    },
  ]);
}
