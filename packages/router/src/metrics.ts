/** Prometheus metrics of the router. */
import type { RouterState } from '@kingcupsill/core';
import { registerStateGauges } from '@kingcupsill/fleet';
import { Counter } from 'prom-client';
import type { Registry } from 'prom-client';

/** Counters that the router increments. */
export interface RouterMetrics {
  /** Counts a response to a caller by its HTTP status. */
  countResponse(status: number): void;
}

/** Registers the metrics. Gauges are computed from the reducer's state at scrape time. */
export function registerRouterMetrics(
  registry: Registry,
  currentState: () => RouterState,
): RouterMetrics {
  registerStateGauges(registry, currentState, [
    {
      name: 'kingcupsill_requests_held',
      help: 'Requests that have arrived and whose response has not ended.',
      read: (state) => state.requests.size,
    },
    {
      name: 'kingcupsill_attempts_open',
      help: 'Attempts that are dispatched and have not ended.',
      read: (state) => state.attempts.size,
    },
    {
      name: 'kingcupsill_sidecars_linked',
      help: 'Sidecars with an open link.',
      read: (state) => state.sidecars.size,
    },
  ]);
  const responses = new Counter({
    name: 'kingcupsill_answers_total',
    help: 'Responses to callers, by HTTP status.',
    labelNames: ['status'],
    registers: [registry],
  });
  return { countResponse: (status) => responses.inc({ status: String(status) }) };
}
