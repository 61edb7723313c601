/** Metrics of the direct router. */
import type { AttemptEnd, DirectState, RefusalCode } from '@kingcupsill/core/direct';
import { Counter, Gauge } from 'prom-client';
import type { Registry } from 'prom-client';

/** Counts as things happen. */
export interface EdgeMetrics {
  sent(repeat: boolean): void;
  ended(end: AttemptEnd): void;
  answered(status: number): void;
  refused(code: RefusalCode): void;
}

/** Registers the metrics; gauges read the state when they are scraped. */
export function createEdgeMetrics(registry: Registry, state: DirectState): EdgeMetrics {
  const registers = [registry];
  const sent = new Counter({
    name: 'kingcupsill_attempts_total',
    help: 'Attempts sent to backend servers.',
    labelNames: ['repeat'],
    registers,
  });
  const ended = new Counter({
    name: 'kingcupsill_attempt_ends_total',
    help: 'Ends of attempts.',
    labelNames: ['end'],
    registers,
  });
  const answered = new Counter({
    name: 'kingcupsill_answers_total',
    help: 'Answers of backend servers given to callers, by HTTP status.',
    labelNames: ['status'],
    registers,
  });
  const refused = new Counter({
    name: 'kingcupsill_refusals_total',
    help: 'Failures of the router itself, by code.',
    labelNames: ['code'],
    registers,
  });
  const open = new Gauge({
    name: 'kingcupsill_requests_held',
    help: 'Requests between arrival and the end of their answer.',
    registers,
    collect() {
      this.set(state.requests.size);
    },
  });
  void open;
  return {
    sent: (repeat) => sent.inc({ repeat: String(repeat) }),
    ended: (end) => ended.inc({ end }),
    answered: (status) => answered.inc({ status: String(status) }),
    refused: (code) => refused.inc({ code }),
  };
}
