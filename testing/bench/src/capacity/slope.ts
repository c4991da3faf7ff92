/** Linear regression of measured points by least squares. */

import { type Figure, unbounded } from "../bench.ts";

export interface Point {
  /** Number of objects, keys, calls or tokens at which the value was measured. */
  readonly size: number;
  readonly value: number;
}

export interface Line {
  /** Per unit of size. */
  readonly slope: number;
  /** At size 0. */
  readonly base: number;
  /** Coefficient of determination: 1 if all points are on the line. */
  readonly fit: number;
}

export function fitLine(points: readonly Point[]): Line {
  const meanSize = mean(points.map(({ size }) => size));
  const meanValue = mean(points.map(({ value }) => value));
  let sizeValueSum = 0;
  let sizeSquareSum = 0;
  let valueSquareSum = 0;
  for (const { size, value } of points) {
    sizeValueSum += (size - meanSize) * (value - meanValue);
    sizeSquareSum += (size - meanSize) ** 2;
    valueSquareSum += (value - meanValue) ** 2;
  }
  const slope = sizeValueSum / sizeSquareSum;
  const fit = valueSquareSum === 0 ? 1 : slope * sizeValueSum / valueSquareSum;
  return { slope, base: meanValue - slope * meanSize, fit };
}

/** Returns the slope and the fit of the line as figures. */
export function toFigures(
  { name, unit }: { readonly name: string; readonly unit: string },
  points: readonly Point[],
): readonly Figure[] {
  const { slope, fit } = fitLine(points);
  return [
    unbounded({ name, value: slope, unit }),
    unbounded({ name: `${name}Fit`, value: fit, unit: "" }),
  ];
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
