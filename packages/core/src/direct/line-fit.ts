/** Linear regression with exponential forgetting of old observations. */

/** Regression line y = base + slope * x. */
export interface LineFit {
  observe(x: number, y: number): void;
  slope(): number;
  base(): number;
}

/** Prior line and the bounds of the slope. */
export interface LineFitOptions {
  slope: number;
  base: number;
  minSlope: number;
  maxSlope: number;
}

/** Fraction of its weight that an observation loses with each later one. */
const FORGETTING_RATE = 0.04;
/** The prior counts as one observation at each of these x values, each with this weight. */
const PRIOR_XS = [0, 10_000];
const PRIOR_WEIGHT = 2;
/** Minimum weight of the prior; it keeps the slope determined if all observations are at the same x. */
const MIN_PRIOR_WEIGHT = 0.2;

interface WeightedSums {
  weight: number;
  x: number;
  y: number;
  xx: number;
  xy: number;
}

function add(sums: WeightedSums, x: number, y: number, weight: number): void {
  sums.weight += weight;
  sums.x += weight * x;
  sums.y += weight * y;
  sums.xx += weight * x * x;
  sums.xy += weight * x * y;
}

/** Creates a fit that starts with the prior line. */
export function createLineFit(options: LineFitOptions): LineFit {
  const { minSlope, maxSlope } = options;
  const observed: WeightedSums = { weight: 0, x: 0, y: 0, xx: 0, xy: 0 };
  let { slope, base } = options;
  let priorWeight = PRIOR_WEIGHT;

  function solve(): void {
    const sums = { ...observed };
    PRIOR_XS.forEach((x) => add(sums, x, options.base + options.slope * x, priorWeight));
    const meanX = sums.x / sums.weight;
    const meanY = sums.y / sums.weight;
    const variance = sums.xx / sums.weight - meanX * meanX;
    const covariance = sums.xy / sums.weight - meanX * meanY;
    slope = Math.min(maxSlope, Math.max(minSlope, covariance / variance));
    base = Math.max(0, meanY - slope * meanX);
  }

  return {
    observe(x, y) {
      const decay = 1 - FORGETTING_RATE;
      observed.weight *= decay;
      observed.x *= decay;
      observed.y *= decay;
      observed.xx *= decay;
      observed.xy *= decay;
      priorWeight = MIN_PRIOR_WEIGHT + (priorWeight - MIN_PRIOR_WEIGHT) * decay;
      add(observed, x, y, 1);
      solve();
    },
    slope: () => slope,
    base: () => base,
  };
}
