/** Links between routers: each sends its reports over links that it dials, and takes those of others. */
import type { RouterReport } from '@kingcupsill/core/direct';
import { repeatEvery } from '../closable.js';
import { createIncomingLinks } from './incoming.js';
import type { IncomingLinksOptions } from './incoming.js';
import { createOutgoingLinks } from './outgoing.js';
import { createReportCodec } from './report-codec.js';

/** Links to all other routers. */
export interface PeerLinks {
  /** Sets the addresses to keep links to. */
  setAddresses(addresses: ReadonlySet<string>): void;
  /** Sends a report over all links; returns the bytes of it, over all links together. */
  broadcast(report: RouterReport): number;
  close(): void;
}

const CHECK_PERIOD_MS = 1000;

/** Starts listening for links. */
export async function createPeerLinks(
  options: Omit<IncomingLinksOptions, 'decode'>,
): Promise<PeerLinks> {
  const codec = createReportCodec();
  const incoming = await createIncomingLinks({ ...options, decode: codec.decode });
  const outgoing = createOutgoingLinks(options.clock, options.logger);
  const checking = repeatEvery(CHECK_PERIOD_MS, () => {
    incoming.checkLiveness();
    outgoing.checkLiveness();
  });

  return {
    setAddresses: outgoing.setAddresses,
    broadcast(report) {
      let packed: Buffer | undefined;
      const links = outgoing.send(() => {
        packed ??= codec.encode(report);
        return packed;
      });
      return links * (packed?.length ?? 0);
    },
    close() {
      checking.close();
      outgoing.close();
      incoming.close();
    },
  };
}
