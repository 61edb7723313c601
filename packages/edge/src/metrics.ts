/** Metrics of the direct router. Labels are bounded: codes, ends, services of the configuration. */
import type {
  AttemptOutcome,
  DirectState,
  DirectTotals,
  RefusalCode,
} from '@kingcupsill/core/direct';
import { Counter, Gauge, Histogram } from 'prom-client';
import type { Registry } from 'prom-client';

/** What control cost since the start. */
export interface ControlTotals {
  /** Calls by kind of object and outcome. */
  storeCalls: Record<string, number>;
  reports: number;
  /** Bytes of reports over all links, without frames. */
  reportBytes: number;
}

/** Counts as things happen. */
export interface EdgeMetrics {
  sent(repeat: boolean): void;
  ended(end: AttemptOutcome): void;
  answered(status: number): void;
  refused(code: RefusalCode): void;
  /** Time from the whole request to the first event or the answer. */
  began(service: string, tookMs: number): void;
  /** Time from the whole request to the end of its answer. */
  finished(service: string, tookMs: number): void;
  /** A call to the store ended, by kind of object and outcome. */
  storeCalled(kind: string, outcome: string): void;
  /** A report went to all peers, `bytes` over all links together. */
  reported(bytes: number): void;
  /** What control cost since the start. */
  control(): ControlTotals;
}

/** Bounds in seconds: from a plain server's answer to the longest deadline. */
const BUCKETS_S = [0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8];

/** Gauges that read the totals of the reducer. */
const TOTALS: Record<keyof DirectTotals, string> = {
  sent: 'Attempts sent.',
  refused: 'Requests refused or failed by the router.',
  ownTokens: 'Prompt tokens of requests themselves.',
  againTokens: 'Shared prompt tokens that engines were expected to read.',
  keptTokens: 'Shared prompt tokens that engines were expected to keep.',
  begun: 'Attempts whose answer began.',
  predictedMs: 'Sum of predicted times to the first event, in milliseconds.',
  seenMs: 'Sum of seen times to the first event, in milliseconds.',
  errorMs: 'Sum of the sizes of prediction errors, in milliseconds.',
};

function snakeCase(name: string): string {
  return name.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);
}

function registerGauge(registry: Registry, name: string, help: string, read: () => number): void {
  const gauge = new Gauge({
    name,
    help,
    registers: [registry],
    collect() {
      this.set(read());
    },
  });
  // The registry holds it.
  void gauge;
}

function registerState(registry: Registry, state: DirectState): void {
  Object.entries(TOTALS).forEach(([key, help]) => {
    const name = `kingcupsill_total_${snakeCase(key)}`;
    registerGauge(registry, name, help, () => state.totals[key as keyof DirectTotals]);
  });
  registerGauge(
    registry,
    'kingcupsill_requests_held',
    'Requests between arrival and the end of their answer.',
    () => state.requests.size,
  );
  registerGauge(
    registry,
    'kingcupsill_configuration_version',
    'Version of the configuration in force; 0 before one is known.',
    () => state.routeTable?.config.version ?? 0,
  );
}

/** Registers the metrics; gauges read the state when they are scraped. */
export function createEdgeMetrics(
  registry: Registry,
  state: DirectState,
  droppedLines: () => number,
): EdgeMetrics {
  const registers = [registry];
  const counter = (name: string, help: string, ...labelNames: string[]) =>
    new Counter({ name, help, labelNames, registers });
  const histogram = (name: string, help: string) =>
    new Histogram({ name, help, labelNames: ['service'], buckets: BUCKETS_S, registers });
  const sent = counter('kingcupsill_attempts_total', 'Attempts sent.', 'repeat');
  const ended = counter('kingcupsill_attempt_ends_total', 'Ends of attempts.', 'end');
  const answered = counter('kingcupsill_answers_total', 'Answers of backend servers.', 'status');
  const refused = counter('kingcupsill_refusals_total', 'Failures of the router itself.', 'code');
  const stored = counter('kingcupsill_store_calls_total', 'Calls to the store.', 'kind', 'outcome');
  const reportBytes = new Counter({
    name: 'kingcupsill_report_bytes_total',
    help: 'Bytes of reports to peers, without frames.',
    registers,
  });
  const control: ControlTotals = { storeCalls: {}, reports: 0, reportBytes: 0 };
  const began = histogram('kingcupsill_first_event_seconds', 'Time to the first event.');
  const finished = histogram('kingcupsill_answer_seconds', 'Time to the end of the answer.');
  registerState(registry, state);
  registerGauge(
    registry,
    'kingcupsill_log_lines_dropped',
    'Log lines that were dropped since their reader was too slow.',
    droppedLines,
  );
  return {
    sent: (repeat) => sent.inc({ repeat: String(repeat) }),
    ended: (end) => ended.inc({ end }),
    answered: (status) => answered.inc({ status: String(status) }),
    refused: (code) => refused.inc({ code }),
    began: (service, tookMs) => began.observe({ service }, tookMs / 1000),
    finished: (service, tookMs) => finished.observe({ service }, tookMs / 1000),
    storeCalled(kind, outcome) {
      stored.inc({ kind, outcome });
      const name = `${kind} ${outcome}`;
      control.storeCalls[name] = (control.storeCalls[name] ?? 0) + 1;
    },
    reported(bytes) {
      reportBytes.inc(bytes);
      control.reports += 1;
      control.reportBytes += bytes;
    },
    control: () => control,
  };
}
