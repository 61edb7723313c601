/** Fits a line through observations, old ones counting less and less. */

/** A line y = base + slope x. */
export interface Line {
  slope: number;
  base: number;
}

/** A line that follows what is observed. */
export interface LineFit {
  observe(x: number, y: number): void;
  line(): Line;
}

/** What is assumed before anything is observed, and how far observations may move the slope from it. */
export interface LineFitOptions {
  /** Read anew at each observation, since it may be learned elsewhere. */
  assumed: () => Line;
  /** Bounds of the slope, as factors of the assumed one. */
  leastFactor: number;
  mostFactor: number;
  /** Observations that the assumption counts as at first. */
  assumedWeight: number;
}

/** Part of its weight that an observation loses with each later one. */
const FORGET = 0.04;
/** The assumption stands as observations at these places. */
const ASSUMED_XS = [0, 10_000];
/** Least weight of the assumption; it bounds the slope where all observations are alike. */
const KEPT_WEIGHT = 0.2;

interface Sums {
  weight: number;
  x: number;
  y: number;
  xx: number;
  xy: number;
}

function add(sums: Sums, x: number, y: number, weight: number): void {
  sums.weight += weight;
  sums.x += weight * x;
  sums.y += weight * y;
  sums.xx += weight * x * x;
  sums.xy += weight * x * y;
}

/** Creates a fit that begins with the assumption. */
export function createLineFit(options: LineFitOptions): LineFit {
  const { assumed, leastFactor, mostFactor } = options;
  const seen: Sums = { weight: 0, x: 0, y: 0, xx: 0, xy: 0 };
  let fitted: Line | undefined;
  let { assumedWeight } = options;

  function solve(): Line {
    const sums = { ...seen };
    const { slope, base } = assumed();
    ASSUMED_XS.forEach((x) => add(sums, x, base + slope * x, assumedWeight));
    const meanX = sums.x / sums.weight;
    const meanY = sums.y / sums.weight;
    const variance = sums.xx / sums.weight - meanX * meanX;
    const covariance = sums.xy / sums.weight - meanX * meanY;
    const bounded = Math.max(slope * leastFactor, covariance / variance);
    const fittedSlope = Math.min(slope * mostFactor, bounded);
    return { slope: fittedSlope, base: Math.max(0, meanY - fittedSlope * meanX) };
  }

  return {
    observe(x, y) {
      const keep = 1 - FORGET;
      seen.weight *= keep;
      seen.x *= keep;
      seen.y *= keep;
      seen.xx *= keep;
      seen.xy *= keep;
      assumedWeight = KEPT_WEIGHT + (assumedWeight - KEPT_WEIGHT) * keep;
      add(seen, x, y, 1);
      fitted = solve();
    },
    line: () => fitted ?? assumed(),
  };
}
