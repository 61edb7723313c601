/** Durations of attempts, or of parts of them, by route, estimated like the retransmission timeout of TCP (RFC 6298). */

/** Estimates by route name. */
export interface RunDurations {
  record(route: string, durationMs: number): void;
  /** Duration that few attempts exceed, in milliseconds; undefined without observations. */
  expectedMs(route: string): number | undefined;
  /** Removes the estimates of routes that the configuration no longer has. */
  prune(isConfigured: (route: string) => boolean): void;
}

interface Estimate {
  meanMs: number;
  meanDeviationMs: number;
}

const MEAN_SMOOTHING = 1 / 8;
const DEVIATION_SMOOTHING = 1 / 4;
const DEVIATION_WEIGHT = 4;

/** Creates the estimates, without observations. */
export function createRunDurations(): RunDurations {
  const estimates = new Map<string, Estimate>();

  return {
    record(route, durationMs) {
      const estimate = estimates.get(route);
      if (estimate === undefined) {
        estimates.set(route, { meanMs: durationMs, meanDeviationMs: durationMs / 2 });
        return;
      }
      const errorMs = durationMs - estimate.meanMs;
      estimate.meanDeviationMs +=
        DEVIATION_SMOOTHING * (Math.abs(errorMs) - estimate.meanDeviationMs);
      estimate.meanMs += MEAN_SMOOTHING * errorMs;
    },
    expectedMs(route) {
      const estimate = estimates.get(route);
      return estimate && estimate.meanMs + DEVIATION_WEIGHT * estimate.meanDeviationMs;
    },
    prune(isConfigured) {
      [...estimates.keys()]
        .filter((route) => !isConfigured(route))
        .forEach((route) => estimates.delete(route));
    },
  };
}
