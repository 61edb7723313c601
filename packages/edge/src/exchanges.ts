/** Table of the requests in progress. */
import type { Exchange } from './callers/exchange.js';

/** Requests in progress by id. */
export interface Exchanges {
  add(exchange: Exchange): void;
  get(id: string): Exchange | undefined;
  /** Removes and returns the exchange, once the outcome of its request is decided. */
  take(id: string): Exchange | undefined;
}

/** Creates an empty table. `onCallerLeft` is called if a caller's connection closes before its request's outcome is decided. */
export function createExchanges(onCallerLeft: (id: string) => void): Exchanges {
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
        if (take(exchange.id) !== undefined) onCallerLeft(exchange.id);
      });
    },
    get: (id) => exchanges.get(id),
    take,
  };
}
