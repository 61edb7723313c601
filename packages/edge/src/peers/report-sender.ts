/** Paces the reports on all links of a router. */
import type { ReportExchange, RouterReport } from '@kingcupsill/core/direct';
import type { Clock } from '@kingcupsill/runtime';
import type { OpenLink } from './types.js';

/** Sender of reports. */
export interface ReportSender {
  add(link: OpenLink): void;
  remove(link: OpenLink): void;
  /** Sends what is due now, and schedules the rest. */
  flush(): void;
  close(): void;
}

/** Options of the sender. */
export interface ReportSenderOptions {
  exchange: ReportExchange;
  clock: Clock;
  encode: (report: RouterReport, sentAtMs: number) => Buffer;
  /** Called after each sent report with its size. */
  onSent: (bytes: number) => void;
}

/** Shortest period of the reports on one link: about the longest latency between regions, which delays them in any case. */
const MIN_PERIOD_MS = 30;
/** Reports that a router sends per second over all links together. */
const REPORTS_PER_SECOND = 200;

interface Recipient {
  link: OpenLink;
  nextAtMs: number;
}

/** Creates a sender without links. */
export function createReportSender(options: ReportSenderOptions): ReportSender {
  const { exchange, clock } = options;
  const recipients = new Map<string, Recipient>();
  let timer: NodeJS.Timeout | undefined;

  function send(recipient: Recipient, nowMs: number): void {
    const report = exchange.compose(recipient.link.key, nowMs);
    if (report === undefined) return;
    const bytes = options.encode(report, Math.round(nowMs));
    const periodMs = Math.max(MIN_PERIOD_MS, (recipients.size * 1000) / REPORTS_PER_SECOND);
    recipient.nextAtMs = nowMs + periodMs;
    recipient.link.send(bytes);
    options.onSent(bytes.length);
  }

  function schedule(nowMs: number): void {
    const waitingMs = [...recipients.values()]
      .filter(({ link }) => exchange.hasNews(link.key))
      .map(({ nextAtMs }) => nextAtMs - nowMs);
    if (waitingMs.length > 0) timer ??= setTimeout(onTimer, Math.max(1, Math.min(...waitingMs)));
  }

  function onTimer(): void {
    timer = undefined;
    flush();
  }

  function flush(): void {
    const nowMs = clock();
    recipients.forEach((recipient) => {
      if (recipient.nextAtMs <= nowMs) send(recipient, nowMs);
    });
    schedule(nowMs);
  }

  return {
    add(link) {
      recipients.set(link.key, { link, nextAtMs: 0 });
    },
    remove({ key }) {
      recipients.delete(key);
    },
    flush,
    close: () => clearTimeout(timer),
  };
}
