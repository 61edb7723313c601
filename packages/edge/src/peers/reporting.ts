/** Reports of this router's own load to the exchange. */
import { createReporter } from '@kingcupsill/core/direct';
import type { DirectState } from '@kingcupsill/core/direct';
import type { EdgeContext } from '../context.js';
import type { PeerLinks } from './peer-links.js';

/** Reporting of the router's load. */
export interface Reporting {
  /** Reports what has changed, together with the other changes of this iteration of the event loop. */
  schedule(): void;
}

/** @param router name and incarnation of this router */
export function createReporting(
  { clock, logger }: Pick<EdgeContext, 'clock' | 'logger'>,
  { state, peers }: { state: DirectState; peers: Promise<PeerLinks> },
  router: string,
): Reporting {
  const reporter = createReporter(router);
  let scheduled = false;

  async function report(): Promise<void> {
    const links = await peers;
    scheduled = false;
    const changes = reporter.compose(state, clock());
    if (changes !== undefined) links.report(changes);
  }

  return {
    schedule() {
      if (scheduled) return;
      scheduled = true;
      report().catch((err: unknown) => logger.error('report-failed', { err }));
    },
  };
}
