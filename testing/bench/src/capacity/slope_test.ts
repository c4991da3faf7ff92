import assert from "node:assert/strict";
import { test } from "node:test";
import { fitLine, toFigures } from "./slope.ts";

test("A line through collinear points has their slope and a fit of 1", () => {
  const points = [1, 2, 5].map((size) => ({ size, value: 3 * size + 7 }));
  const { slope, base, fit } = fitLine(points);
  assert.ok(Math.abs(slope - 3) < 1e-9);
  assert.ok(Math.abs(base - 7) < 1e-9);
  assert.ok(Math.abs(fit - 1) < 1e-9);
});

test("Points that are not on the line lower the fit", () => {
  const points = [[1, 0], [2, 9], [3, 1]].map(([size = 0, value = 0]) => ({
    size,
    value,
  }));
  const [slope, fit] = toFigures({ name: "a", unit: "us" }, points);
  assert.equal(slope?.value, 0.5);
  assert.equal(fit?.name, "aFit");
  assert.ok((fit?.value ?? 1) < 0.1);
});
