/** Metrics of the router. */
import type { RouterState } from '@kingcupsill/core';
import { registerStateGauges } from '@kingcupsill/fleet';
import { Counter } from 'prom-client';
import type { Registry } from 'prom-client';

/** Metrics that the router counts as things happen. */
export interface RouterMetrics {
  /** Answers to callers by HTTP status. */
  countResponse(status: number): void;
}

/** Registers the router's metrics; gauges read the reducer's state when scraped. */
export function registerRouterMetrics(registry: Registry, state: () => RouterState): RouterMetrics {
  registerStateGauges(registry, state, [
    {
      name: 'kingcupsill_requests_held',
      help: 'Requests between arrival and the end of their answer.',
      read: (now) => now.requests.size,
    },
    {
      name: 'kingcupsill_attempts_open',
      help: 'Attempts dispatched and not ended.',
      read: (now) => now.attempts.size,
    },
    {
      name: 'kingcupsill_sidecars_linked',
      help: 'Sidecars with an open link.',
      read: (now) => now.sidecars.size,
    },
  ]);
  const answers = new Counter({
    name: 'kingcupsill_answers_total',
    help: 'Answers to callers, by HTTP status.',
    labelNames: ['status'],
    registers: [registry],
  });
  return { countResponse: (status) => answers.inc({ status: String(status) }) };
}
