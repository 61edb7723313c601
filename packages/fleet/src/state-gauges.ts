/** Prometheus gauges computed from a reducer's state at scrape time. */
import { Gauge } from 'prom-client';
import type { Registry } from 'prom-client';

/** Gauge computed from the state. */
export interface StateGauge<TState> {
  name: string;
  help: string;
  /** Returns the gauge's value for the state. */
  read(state: TState): number;
}

/** Registers the gauges. `currentState` returns the state. */
export function registerStateGauges<TState>(
  registry: Registry,
  currentState: () => TState,
  gauges: StateGauge<TState>[],
): void {
  gauges.forEach(({ name, help, read }) => {
    const gauge = new Gauge({
      name,
      help,
      registers: [registry],
      collect() {
        this.set(read(currentState()));
      },
    });
    // The constructor adds the gauge to the registry; no other reference is needed.
    void gauge;
  });
}
