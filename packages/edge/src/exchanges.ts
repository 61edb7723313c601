/** Requests in hand, by id. */
import type { Exchange } from './callers/exchange.js';

/** Requests in hand. */
export interface Exchanges {
  add(exchange: Exchange): void;
  get(id: string): Exchange | undefined;
  /** Takes the exchange out: its answer is decided. */
  take(id: string): Exchange | undefined;
}

/** Creates an empty table. `onLeft` is called when a caller's connection closes before its answer was decided. */
export function createExchanges(onLeft: (id: string) => void): Exchanges {
  const exchanges = new Map<string, Exchange>();

  function take(id: string): Exchange | undefined {
    const exchange = exchanges.get(id);
    exchanges.delete(id);
    return exchange;
  }

  return {
    add(exchange) {
      exchanges.set(exchange.id, exchange);
      exchange.res.on('close', () => {
        if (take(exchange.id) !== undefined) onLeft(exchange.id);
      });
    },
    get: (id) => exchanges.get(id),
    take,
  };
}
