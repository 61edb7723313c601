/** Gauges that read a reducer's state when they are scraped. */
import { Gauge } from 'prom-client';
import type { Registry } from 'prom-client';

/** One gauge. */
export interface StateGauge<TState> {
  name: string;
  help: string;
  read(state: TState): number;
}

/** Registers the gauges. */
export function registerStateGauges<TState>(
  registry: Registry,
  state: () => TState,
  gauges: StateGauge<TState>[],
): void {
  gauges.forEach(({ name, help, read }) => {
    const gauge = new Gauge({
      name,
      help,
      registers: [registry],
      collect() {
        this.set(read(state()));
      },
    });
    // The registry holds it; nothing else needs it.
    void gauge;
  });
}
