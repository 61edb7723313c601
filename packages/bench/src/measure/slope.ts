/** Linear regression by ordinary least squares. */

/** Data point, such as one step of a parameter sweep. */
export interface Point {
  x: number;
  y: number;
}

/** Line y = intercept + slope * x. */
export interface Line {
  slope: number;
  intercept: number;
}

/** Fits a line by least squares; the slope is 0 if all x are equal, and both are 0 without points. */
export function fitLine(points: readonly Point[]): Line {
  if (points.length === 0) return { slope: 0, intercept: 0 };
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / points.length;
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / points.length;
  const covariance = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0);
  const variance = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
  const slope = variance === 0 ? 0 : covariance / variance;
  return { slope, intercept: meanY - slope * meanX };
}
