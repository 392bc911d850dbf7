/** A measured value for a given size. */
export interface Point {
  size: number;
  value: number;
}

/** Gets the slope of the least-squares regression line through the points. */
export function fitSlope(points: Point[]): number {
  const meanSize = mean(points.map(({ size }) => size));
  const meanValue = mean(points.map(({ value }) => value));
  const products = points.map(({ size, value }) => (size - meanSize) * (value - meanValue));
  const squares = points.map(({ size }) => (size - meanSize) ** 2);
  return sum(products) / sum(squares);
}

function sum(values: number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function mean(values: number[]): number {
  return sum(values) / values.length;
}
