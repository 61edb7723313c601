/** Traffic counters of all links of a process. */
import type { Link, LinkCounters } from '@kingcupsill/link';
import { Counter } from 'prom-client';
import type { Registry } from 'prom-client';

/** Sums the traffic of open and closed links. */
export interface LinkTraffic {
  /** Adds the final counters of a link that has closed. */
  addClosed(link: Link): void;
  /** Returns the traffic of all links since the process started. */
  total(): LinkCounters;
}

const METRICS: { name: string; help: string; field: keyof LinkCounters }[] = [
  {
    name: 'kingcupsill_link_bytes_sent_total',
    help: 'Bytes sent on links, frame headers and heartbeats included.',
    field: 'bytesSent',
  },
  {
    name: 'kingcupsill_link_bytes_received_total',
    help: 'Bytes received on links, frame headers and heartbeats included.',
    field: 'bytesReceived',
  },
  {
    name: 'kingcupsill_link_messages_sent_total',
    help: 'Messages sent on links.',
    field: 'messagesSent',
  },
  {
    name: 'kingcupsill_link_messages_received_total',
    help: 'Messages received on links.',
    field: 'messagesReceived',
  },
];

/** Creates the counters and registers their metrics. `openLinks` returns the currently open links. */
export function createLinkTraffic(registry: Registry, openLinks: () => Link[]): LinkTraffic {
  const closedLinks: LinkCounters = {
    bytesSent: 0,
    bytesReceived: 0,
    messagesSent: 0,
    messagesReceived: 0,
  };

  function add(sum: LinkCounters, counters: LinkCounters): void {
    METRICS.forEach(({ field }) => {
      sum[field] += counters[field];
    });
  }

  function total(): LinkCounters {
    const sum = { ...closedLinks };
    openLinks().forEach((link) => add(sum, link.counters()));
    return sum;
  }

  METRICS.forEach(({ name, help, field }) => {
    const metric = new Counter({
      name,
      help,
      registers: [registry],
      collect() {
        this.reset();
        this.inc(total()[field]);
      },
    });
    // The constructor adds the metric to the registry; no other reference is needed.
    void metric;
  });

  return { addClosed: (link) => add(closedLinks, link.counters()), total };
}
