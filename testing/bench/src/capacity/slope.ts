/** Straight lines through measured points, by least squares. */

import { type Figure, unbounded } from "../bench.ts";

export interface Point {
  readonly size: number;
  readonly value: number;
}

export interface Line {
  /** Per unit of size. */
  readonly slope: number;
  /** At size 0. */
  readonly base: number;
  /** Share of the values' spread that the line explains, 1 at best. */
  readonly fit: number;
}

export function fitLine(points: readonly Point[]): Line {
  const meanSize = mean(points.map(({ size }) => size));
  const meanValue = mean(points.map(({ value }) => value));
  let across = 0;
  let along = 0;
  let spread = 0;
  for (const { size, value } of points) {
    across += (size - meanSize) * (value - meanValue);
    along += (size - meanSize) ** 2;
    spread += (value - meanValue) ** 2;
  }
  const slope = across / along;
  const fit = spread === 0 ? 1 : slope * across / spread;
  return { slope, base: meanValue - slope * meanSize, fit };
}

/** The slope as a figure, with how well the line fits. */
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
