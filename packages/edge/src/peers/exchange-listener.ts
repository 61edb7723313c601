/** Listener that connects a link to the exchange of reports. */
import type { LinkKind, ReportExchange, RouterReport } from '@kingcupsill/core/direct';
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

/** @param isRecipient whether reports are also sent on links of this kind */
export function createExchangeListener(
  { clock, logger, exchange, sender, codec, onReport, onPeerLost }: ExchangeListenerContext,
  kind: LinkKind,
  isRecipient: boolean,
): LinkListener {
  return {
    onOpen(link) {
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
      exchange.receive(key, decoded.value, clock());
      onReport({ ...decoded.value, router: key });
      sender.flush();
    },
    onClosed(link) {
      logger.info('peer-lost', { link: link.key, kind });
      sender.remove(link);
      exchange.close(link.key);
      onPeerLost(link.key);
      sender.flush();
    },
  };
}
