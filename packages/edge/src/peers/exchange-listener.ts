/** Listener that connects a link to the exchange of reports. */
import { createTransitDelay } from '@kingcupsill/core/direct';
import type {
  LinkKind,
  ReportExchange,
  RouterReport,
  TransitDelay,
} from '@kingcupsill/core/direct';
import type { Clock, Logger } from '@kingcupsill/runtime';
import type { ReportCodec } from './report-codec.js';
import type { ReportSender } from './report-sender.js';
import type { LinkListener } from './types.js';

/** Dependencies of the listener. */
export interface ExchangeListenerContext {
  clock: Clock;
  logger: Logger;
  exchange: ReportExchange;
  sender: ReportSender;
  codec: ReportCodec;
  onReport: (report: RouterReport) => void;
  onPeerLost: (link: string) => void;
}

/** Delay of a report from which it is logged: several times the longest latency between regions. */
const LATE_REPORT_MS = 500;

interface LinkDelay {
  transit: TransitDelay;
  isLate: boolean;
}

/** Returns the report with the ages in it as of now; they were right when it was sent. */
function addDelay(report: RouterReport, delayMs: number): RouterReport {
  const age = <TAged extends { ageMs: number }>(aged: TAged): TAged => ({
    ...aged,
    ageMs: aged.ageMs + delayMs,
  });
  return {
    ...report,
    storeNews: report.storeNews.map(age),
    limits: report.limits.map(age),
    starts: report.starts.map((start) => ({
      ...start,
      sentAgeMs: start.sentAgeMs + delayMs,
      begunAgeMs: start.begunAgeMs + delayMs,
    })),
  };
}

/** @param isRecipient whether reports are also sent on links of this kind */
export function createExchangeListener(
  { clock, logger, exchange, sender, codec, onReport, onPeerLost }: ExchangeListenerContext,
  kind: LinkKind,
  isRecipient: boolean,
): LinkListener {
  const delays = new Map<string, LinkDelay>();

  /** Returns how long a report has been on its way, beyond the usual. */
  function measureDelay(link: string, sentAtMs: number | undefined): number {
    const delay = delays.get(link);
    if (delay === undefined || sentAtMs === undefined) return 0;
    const delayMs = delay.transit.record(sentAtMs, clock());
    const isLate = delayMs >= LATE_REPORT_MS;
    if (isLate !== delay.isLate) logger.info('peer-reports-late', { link, late: isLate, delayMs });
    delay.isLate = isLate;
    return delayMs;
  }

  return {
    onOpen(link) {
      delays.set(link.key, { transit: createTransitDelay(), isLate: false });
      logger.info('peer-linked', { link: link.key, kind });
      exchange.open(link.key, kind, clock());
      if (isRecipient) sender.add(link);
      sender.flush();
    },
    onMessage({ key, close }, bytes) {
      const decoded = codec.decode(bytes);
      if (!decoded.ok) {
        logger.warn('peer-report-malformed', { link: key, message: decoded.message });
        close();
        return;
      }
      const report = addDelay(decoded.value, measureDelay(key, decoded.sentAtMs));
      exchange.receive(key, report, clock());
      onReport({ ...report, router: key });
      sender.flush();
    },
    onClosed(link) {
      logger.info('peer-lost', { link: link.key, kind });
      delays.delete(link.key);
      sender.remove(link);
      exchange.close(link.key);
      onPeerLost(link.key);
      sender.flush();
    },
  };
}
