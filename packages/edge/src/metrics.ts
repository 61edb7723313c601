/** Metrics of the direct router. Label values are bounded: codes, outcomes, and services of the configuration. */
import { getOwn, setOwn } from '@kingcupsill/core/collections';
import type {
  AttemptOutcome,
  DirectState,
  DirectTotals,
  RefusalCode,
} from '@kingcupsill/core/direct';
import { Counter, Gauge, Histogram } from 'prom-client';
import type { Registry } from 'prom-client';
import type { MemoryUse } from './memory-use.js';
import type { BodyFraming } from './relay/types.js';

/** Cost of control traffic since the start. */
export interface ControlTotals {
  /** Calls to the store by kind of object and outcome. */
  storeCalls: Record<string, number>;
  reports: number;
  /** Bytes of reports over all links, without WebSocket framing. */
  reportBytes: number;
}

/** Recorder of events and durations. */
export interface EdgeMetrics {
  countAttempt(isRetry: boolean): void;
  countAttemptEnd(outcome: AttemptOutcome): void;
  /** Counts the end of a response's body. */
  countBodyEnd(framing: BodyFraming, isInsideEvent: boolean): void;
  countResponse(status: number): void;
  countRefusal(code: RefusalCode): void;
  /** Counts an error in this router that has ended one request; `place` is where it occurred. */
  countRequestError(place: string): void;
  /** Records the time from the complete request to the first event or the response. */
  observeFirstEvent(service: string, durationMs: number): void;
  /** Records the time from the complete request to the end of its response. */
  observeCompletion(service: string, durationMs: number): void;
  /** Counts a call to the store by kind of object and outcome. */
  countStoreCall(kind: string, outcome: string): void;
  /** Counts a version of the configuration that couldn't be read, so that an earlier one stays in force. */
  countUnreadableConfiguration(): void;
  /** Counts an object of the store that couldn't be used, each time that it is read. */
  countUnreadableObject(kind: string): void;
  /** Counts a connection to a server that had gone silent under a request. */
  countSilentConnection(): void;
  /** Counts idle connections that were closed because another one to their server may have gone silent. */
  countDoubtfulConnections(closed: number): void;
  /** Counts a report to all peers; `bytes` is the total over all links. */
  countReport(bytes: number): void;
  /** Returns the cost of control traffic since the start. */
  controlTotals(): ControlTotals;
}

/** Histogram bounds in seconds, from the response time of an application server to the longest deadline. */
const BUCKET_BOUNDS_S = [0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8];

/** Help texts of the gauges for the reducer's totals. */
const TOTALS_HELP: Record<keyof DirectTotals, string> = {
  sent: 'Attempts sent.',
  refused: 'Requests refused or failed by the router.',
  ownTokens: 'Prompt tokens that no other request shares.',
  againTokens: 'Shared prompt tokens that engines were expected to process.',
  keptTokens: 'Shared prompt tokens that engines were expected to have cached.',
  begun: 'Attempts whose response began.',
  predictedMs: 'Sum of predicted times to the first event, in milliseconds.',
  seenMs: 'Sum of observed times to the first event, in milliseconds.',
  errorMs: 'Sum of absolute prediction errors, in milliseconds.',
  peerStarts:
    'Starts of answers that peers have reported, by which the estimated waits are corrected.',
  resumed: 'Requests that resumed a stream at the version that began it.',
  resumptionsRefused: 'Requests to resume a stream refused because its version is not certain.',
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
  // The constructor adds the gauge to the registry; no other reference is needed.
  void gauge;
}

function registerStateGauges(registry: Registry, state: DirectState): void {
  Object.entries(TOTALS_HELP).forEach(([key, help]) => {
    const name = `kingcupsill_total_${snakeCase(key)}`;
    registerGauge(registry, name, help, () => state.totals[key as keyof DirectTotals]);
  });
  registerGauge(
    registry,
    'kingcupsill_requests_held',
    'Requests from arrival to the end of their response.',
    () => state.requests.size,
  );
  registerGauge(
    registry,
    'kingcupsill_configuration_version',
    'Version of the configuration in force; 0 before one is known.',
    () => state.routeTable?.config.version ?? 0,
  );
}

/** Registers gauges that share one reading per scrape. */
export function registerMemoryGauges(registry: Registry, read: () => MemoryUse): void {
  const name = 'kingcupsill_memory';
  const gauge = new Gauge({
    name,
    help: 'Memory in bytes, and connections that hold some, by owner.',
    labelNames: ['owner'],
    registers: [registry],
    collect() {
      Object.entries(read()).forEach(([owner, value]) =>
        this.set({ owner: snakeCase(owner) }, value as number),
      );
    },
  });
  void gauge;
}

function registerProcessGauges(
  registry: Registry,
  droppedLines: () => number,
  acceptWaitMs: () => number,
): void {
  registerGauge(
    registry,
    'kingcupsill_log_lines_dropped',
    'Log lines dropped because their reader was too slow.',
    droppedLines,
  );
  registerGauge(
    registry,
    'kingcupsill_accept_wait_seconds',
    'Estimated wait of connections that have not been accepted yet; an upper bound.',
    () => acceptWaitMs() / 1000,
  );
}

type CreateCounter = (name: string, help: string, ...labelNames: string[]) => Counter;

/** Metrics of connections to servers that go silent. */
function createConnectionMetrics(
  counter: CreateCounter,
): Pick<EdgeMetrics, 'countSilentConnection' | 'countDoubtfulConnections'> {
  const silent = counter(
    'kingcupsill_silent_connections_total',
    'Connections to servers that delivered nothing while their servers answered others.',
  );
  const doubtful = counter(
    'kingcupsill_doubtful_connections_total',
    'Idle connections to servers closed because another one may have gone silent.',
  );
  return {
    countSilentConnection: () => silent.inc(),
    countDoubtfulConnections: (closed) => doubtful.inc(closed),
  };
}

/** Metrics of control traffic. */
function createControlMetrics(
  counter: CreateCounter,
): Pick<EdgeMetrics, 'countStoreCall' | 'countReport' | 'controlTotals' | 'countUnreadableObject'> {
  const unreadable = counter(
    'kingcupsill_objects_unreadable_total',
    'Objects of the store that could not be used, each time that they were read.',
    'kind',
  );
  const calls = counter('kingcupsill_store_calls_total', 'Calls to the store.', 'kind', 'outcome');
  const reportBytes = counter(
    'kingcupsill_report_bytes_total',
    'Bytes of reports to peers, without WebSocket framing.',
  );
  const totals: ControlTotals = { storeCalls: {}, reports: 0, reportBytes: 0 };
  return {
    countStoreCall(kind, outcome) {
      calls.inc({ kind, outcome });
      const name = `${kind} ${outcome}`;
      setOwn(totals.storeCalls, name, (getOwn(totals.storeCalls, name) ?? 0) + 1);
    },
    countReport(bytes) {
      reportBytes.inc(bytes);
      totals.reports += 1;
      totals.reportBytes += bytes;
    },
    controlTotals: () => totals,
    countUnreadableObject: (kind) => unreadable.inc({ kind }),
  };
}

/** Registers the metrics. Gauges read the state on each scrape; `acceptWaitMs` is the wait of connections that aren't accepted yet. */
export function createEdgeMetrics(
  registry: Registry,
  state: DirectState,
  droppedLines: () => number,
  acceptWaitMs: () => number,
): EdgeMetrics {
  const registers = [registry];
  const counter: CreateCounter = (name, help, ...labelNames) =>
    new Counter({ name, help, labelNames, registers });
  const histogram = (name: string, help: string) =>
    new Histogram({ name, help, labelNames: ['service'], buckets: BUCKET_BOUNDS_S, registers });
  const attempts = counter('kingcupsill_attempts_total', 'Attempts sent.', 'repeat');
  const attemptEnds = counter('kingcupsill_attempt_ends_total', 'Attempts ended.', 'end');
  const bodyEnds = counter(
    'kingcupsill_body_ends_total',
    'Ends of response bodies of backend servers.',
    'framing',
    'inside_event',
  );
  const responses = counter('kingcupsill_answers_total', 'Responses of backend servers.', 'status');
  const refusals = counter(
    'kingcupsill_refusals_total',
    'Requests refused or failed by the router.',
    'code',
  );
  const requestErrors = counter(
    'kingcupsill_request_errors_total',
    'Requests ended by an error in the router.',
    'place',
  );
  const unreadable = counter('kingcupsill_configurations_unreadable_total', 'Unreadable versions.');
  const firstEventSeconds = histogram(
    'kingcupsill_first_event_seconds',
    'Time to the first event.',
  );
  const responseSeconds = histogram(
    'kingcupsill_answer_seconds',
    'Time to the end of the response.',
  );
  registerStateGauges(registry, state);
  registerProcessGauges(registry, droppedLines, acceptWaitMs);
  return {
    countAttempt: (isRetry) => attempts.inc({ repeat: String(isRetry) }),
    countAttemptEnd: (outcome) => attemptEnds.inc({ end: outcome }),
    countBodyEnd: (framing, isInsideEvent) =>
      bodyEnds.inc({ framing, inside_event: String(isInsideEvent) }),
    countResponse: (status) => responses.inc({ status: String(status) }),
    countRefusal: (code) => refusals.inc({ code }),
    countRequestError: (place) => requestErrors.inc({ place }),
    observeFirstEvent: (service, durationMs) =>
      firstEventSeconds.observe({ service }, durationMs / 1000),
    observeCompletion: (service, durationMs) =>
      responseSeconds.observe({ service }, durationMs / 1000),
    countUnreadableConfiguration: () => unreadable.inc(),
    ...createConnectionMetrics(counter),
    ...createControlMetrics(counter),
  };
}
