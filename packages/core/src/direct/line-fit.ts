/** Fits a line through observations, old ones counting less and less. */

/** A line y = base + slope x. */
export interface LineFit {
  observe(x: number, y: number): void;
  slope(): number;
  base(): number;
}

/** What is assumed before anything is observed, and the bounds of the slope. */
export interface LineFitOptions {
  slope: number;
  base: number;
  leastSlope: number;
  mostSlope: number;
}

/** Part of its weight that an observation loses with each later one. */
const FORGET = 0.04;
/** The assumption stands as observations at these places, of this weight each. */
const ASSUMED_XS = [0, 10_000];
const ASSUMED_WEIGHT = 2;
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
  const { leastSlope, mostSlope } = options;
  const seen: Sums = { weight: 0, x: 0, y: 0, xx: 0, xy: 0 };
  let { slope, base } = options;
  let assumedWeight = ASSUMED_WEIGHT;

  function solve(): void {
    const sums = { ...seen };
    ASSUMED_XS.forEach((x) => add(sums, x, options.base + options.slope * x, assumedWeight));
    const meanX = sums.x / sums.weight;
    const meanY = sums.y / sums.weight;
    const variance = sums.xx / sums.weight - meanX * meanX;
    const covariance = sums.xy / sums.weight - meanX * meanY;
    slope = Math.min(mostSlope, Math.max(leastSlope, covariance / variance));
    base = Math.max(0, meanY - slope * meanX);
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
      solve();
    },
    slope: () => slope,
    base: () => base,
  };
}
