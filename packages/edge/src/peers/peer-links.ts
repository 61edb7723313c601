/** Exchange of load reports with the other routers over links to and from the hubs of groups. */
import { createReportExchange, LinkKind, planExchange } from '@kingcupsill/core/direct';
import type { RouterInfo, RouterReport, StoreNews } from '@kingcupsill/core/direct';
import type { Hasher } from '@kingcupsill/core/hash';
import { repeatEvery } from '../closable.js';
import { createIncomingLinks } from './incoming.js';
import { createPreferredLink } from './preferred-link.js';
import type { PreferredLink } from './preferred-link.js';
import { createReportCodec } from './report-codec.js';
import { createReportSender } from './report-sender.js';
import { LinkRole, LIVENESS_CHECK_PERIOD_MS } from './types.js';
import type { LinkContext, LinkListener } from './types.js';

/** Options of the links. */
export interface PeerLinksOptions extends Omit<LinkContext, 'nextLinkNumber'> {
  host: string;
  port: number;
  hasher: Hasher;
  /** Name and incarnation of this router, which its reports carry. */
  router: string;
  storeNews: StoreNews;
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
    clock,
    logger,
    self,
    nextLinkNumber() {
      linkCount += 1;
      return linkCount;
    },
  };
  const codec = createReportCodec();
  const exchange = createReportExchange(options.router, options.storeNews);
  const sender = createReportSender({
    exchange,
    clock,
    encode: codec.encode,
    onSent: options.onSent,
  });
  const otherHubs = new Map<string, PreferredLink>();
  let otherGroups: ReadonlyMap<string, RouterInfo[]> = new Map();
  let watchingGroup = true;
  exchange.open(OWN, LinkKind.Own);

  function listen(kind: LinkKind, isRecipient: boolean): LinkListener {
    return {
      onOpen(link) {
        logger.info('peer-linked', { link: link.key, kind });
        exchange.open(link.key, kind);
        if (isRecipient) sender.add(link);
        sender.flush();
      },
      onMessage({ key }, bytes) {
        const decoded = codec.decode(bytes);
        if (!decoded.ok) {
          logger.warn('peer-report-malformed', { link: key, message: decoded.message });
          return;
        }
        exchange.receive(key, decoded.value, clock());
        options.onReport({ ...decoded.value, router: key });
        sender.flush();
      },
      onClosed(link) {
        logger.info('peer-lost', { link: link.key, kind });
        sender.remove(link);
        exchange.close(link.key);
        options.onPeerLost(link.key);
        sender.flush();
      },
    };
  }

  const hub = createPreferredLink(ctx, LinkRole.Member, listen(LinkKind.Hub, true), updateRole);
  const otherHubListener = listen(LinkKind.OtherHubOut, true);

  /** A router is the hub of its group while it reaches none that is preferred. */
  function isHub(): boolean {
    return !hub.hasHope();
  }

  function updateRole(): void {
    const wanted = isHub() ? otherGroups : new Map<string, RouterInfo[]>();
    otherHubs.forEach((link, group) => {
      if (wanted.has(group)) return;
      link.close();
      otherHubs.delete(group);
    });
    wanted.forEach((candidates, group) => {
      const link =
        otherHubs.get(group) ??
        createPreferredLink(ctx, LinkRole.Hub, otherHubListener, () => undefined);
      otherHubs.set(group, link);
      link.setCandidates(candidates);
    });
  }

  const incoming = await createIncomingLinks({
    ...ctx,
    host: options.host,
    port: options.port,
    accepts: (role) => role === LinkRole.Member || isHub(),
    listeners: {
      [LinkRole.Member]: listen(LinkKind.Member, true),
      [LinkRole.Hub]: listen(LinkKind.OtherHubIn, false),
    },
  });
  const livenessTimer = repeatEvery(LIVENESS_CHECK_PERIOD_MS, () => {
    incoming.check();
    hub.check();
    updateRole();
    otherHubs.forEach((link) => link.check());
  });

  return {
    setRouters(routers) {
      const plan = planExchange(hasher, self, routers);
      otherGroups = plan.otherGroups;
      watchingGroup = plan.watchesStore;
      hub.setCandidates(plan.hubCandidates);
      updateRole();
    },
    announceStoreNews(kind) {
      exchange.announceStoreNews(kind);
      sender.flush();
    },
    watchesStore: () => watchingGroup && isHub(),
    report(report) {
      exchange.receive(OWN, report, clock());
      sender.flush();
    },
    close() {
      livenessTimer.close();
      sender.close();
      hub.close();
      otherHubs.forEach((link) => link.close());
      incoming.close();
    },
  };
}
