/** Exchange of load reports with the other routers over links to and from the hubs of groups. */
import { createReportExchange, LinkKind, planExchange } from '@kingcupsill/core/direct';
import type {
  CrashBlocks,
  RouterInfo,
  RouterReport,
  ServerLimits,
  StoreNews,
} from '@kingcupsill/core/direct';
import type { Hasher } from '@kingcupsill/core/hash';
import { repeatEvery } from '@kingcupsill/runtime';
import { dialLink } from './dialed-link.js';
import { createExchangeListener } from './exchange-listener.js';
import { createGroupLinks } from './group-links.js';
import { createIncomingLinks } from './incoming.js';
import { createReportCodec } from './report-codec.js';
import { createReportSender } from './report-sender.js';
import { LinkRole, LIVENESS_CHECK_PERIOD_MS } from './types.js';
import type { LinkContext, LinkListener } from './types.js';

/** Options of the links. */
export interface PeerLinksOptions extends Omit<LinkContext, 'dial' | 'nextLinkNumber'> {
  host: string;
  port: number;
  stopping?: AbortSignal;
  /** Maximum number of accepted links. */
  maxLinks: number;
  /** Maximum number of connections that aren't links yet. */
  maxConnections: number;
  hasher: Hasher;
  /** Name and incarnation of this router, which its reports carry. */
  router: string;
  storeNews: StoreNews;
  blocks: CrashBlocks;
  serverLimits: ServerLimits;
  /** Called with each received report; `router` in it names the link. */
  onReport: (report: RouterReport) => void;
  /** Called with the name of a link that was lost. */
  onPeerLost: (link: string) => void;
  /** Called after each sent report with its size in bytes. */
  onSent: (bytes: number) => void;
}

/** Links of one router. */
export interface PeerLinks {
  /** Sets the registered routers, including this one. */
  setRouters(routers: readonly RouterInfo[]): void;
  /** Passes on a report of this router's own load. */
  report(report: RouterReport): void;
  /** Passes on news of the store that this router has from its own calls. */
  announceStoreNews(kind: string): void;
  /** Returns whether this router watches the store for others. */
  watchesStore(): boolean;
  close(): void;
}

const OWN = 'own';

/** Starts the listener. */
export async function createPeerLinks(options: PeerLinksOptions): Promise<PeerLinks> {
  const { clock, logger, self, hasher } = options;
  let linkCount = 0;
  const ctx: LinkContext = {
    dial: dialLink,
    clock,
    logger,
    self,
    nextLinkNumber() {
      linkCount += 1;
      return linkCount;
    },
  };
  const codec = createReportCodec();
  const exchange = createReportExchange(options);
  const sender = createReportSender({
    exchange,
    clock,
    encode: codec.encode,
    onSent: options.onSent,
  });
  exchange.open(OWN, LinkKind.Own, clock());

  const listen = (kind: LinkKind, isRecipient: boolean): LinkListener =>
    createExchangeListener({ ...options, exchange, sender, codec }, kind, isRecipient);
  const groups = createGroupLinks(
    ctx,
    listen(LinkKind.Hub, true),
    listen(LinkKind.OtherHubOut, true),
  );
  const incoming = await createIncomingLinks({
    ...ctx,
    host: options.host,
    port: options.port,
    stopping: options.stopping,
    maxLinks: options.maxLinks,
    maxConnections: options.maxConnections,
    accepts: (role) => role === LinkRole.Member || groups.isHub(),
    listeners: {
      [LinkRole.Member]: listen(LinkKind.Member, true),
      [LinkRole.Hub]: listen(LinkKind.OtherHubIn, false),
    },
  });
  const livenessTimer = repeatEvery(LIVENESS_CHECK_PERIOD_MS, () => {
    incoming.check();
    groups.check();
  });

  return {
    setRouters(routers) {
      groups.setPlan(planExchange(hasher, self, routers));
    },
    announceStoreNews(kind) {
      exchange.announceStoreNews(kind);
      sender.flush();
    },
    watchesStore: groups.watchesStore,
    report(report) {
      exchange.receive(OWN, report, clock());
      sender.flush();
    },
    close() {
      livenessTimer.close();
      sender.close();
      groups.close();
      incoming.close();
    },
  };
}
