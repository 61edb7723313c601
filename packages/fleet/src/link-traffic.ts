/** Counts the traffic of all links of a process, open and closed. */
import type { Link, LinkCounters } from '@kingcupsill/link';
import { Counter } from 'prom-client';
import type { Registry } from 'prom-client';

/** Keeps the traffic of links that have closed. */
export interface LinkTraffic {
  /** Adds a closed link's traffic for good. */
  addClosed(link: Link): void;
  /** Traffic of all links so far. */
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

/** Creates the count and its metrics. `openLinks` lists the links that are open now. */
export function createLinkTraffic(registry: Registry, openLinks: () => Link[]): LinkTraffic {
  const past: LinkCounters = {
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
    const sum = { ...past };
    openLinks().forEach((link) => add(sum, link.counters()));
    return sum;
  }

  METRICS.forEach(({ name, help, field }) => {
    const counter = new Counter({
      name,
      help,
      registers: [registry],
      collect() {
        this.reset();
        this.inc(total()[field]);
      },
    });
    void counter;
  });

  return { addClosed: (link) => add(past, link.counters()), total };
}
