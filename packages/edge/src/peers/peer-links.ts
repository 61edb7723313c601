/** Links between routers. Each router sends its reports over the links that it dials and receives others' over accepted links. */
import type { RouterReport } from '@kingcupsill/core/direct';
import { repeatEvery } from '../closable.js';
import { createIncomingLinks } from './incoming.js';
import type { IncomingLinksOptions } from './incoming.js';
import { createOutgoingLinks } from './outgoing.js';
import { createReportCodec } from './report-codec.js';

/** Links to and from all other routers. */
export interface PeerLinks {
  /** Sets the addresses of the routers to stay connected to. */
  setAddresses(addresses: ReadonlySet<string>): void;
  /** Sends a report over all links and returns the total number of bytes sent. */
  broadcast(report: RouterReport): number;
  close(): void;
}

const LIVENESS_CHECK_PERIOD_MS = 1000;

/** Starts the listener and the outgoing links. */
export async function createPeerLinks(
  options: Omit<IncomingLinksOptions, 'decode'>,
): Promise<PeerLinks> {
  const codec = createReportCodec();
  const incoming = await createIncomingLinks({ ...options, decode: codec.decode });
  const outgoing = createOutgoingLinks(options.clock, options.logger);
  const livenessTimer = repeatEvery(LIVENESS_CHECK_PERIOD_MS, () => {
    incoming.checkLiveness();
    outgoing.checkLiveness();
  });

  return {
    setAddresses: outgoing.setAddresses,
    broadcast(report) {
      let encoded: Buffer | undefined;
      const linkCount = outgoing.send(() => {
        encoded ??= codec.encode(report);
        return encoded;
      });
      return linkCount * (encoded?.length ?? 0);
    },
    close() {
      livenessTimer.close();
      outgoing.close();
      incoming.close();
    },
  };
}
