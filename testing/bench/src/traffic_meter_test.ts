import assert from "node:assert/strict";
import { test } from "node:test";
import { judgeFigure } from "./mod.ts";
import { TrafficMeter } from "./traffic_meter.ts";

test("Bytes are counted per node once counting began", () => {
  const meter = TrafficMeter.create();
  meter.count("a", "early");
  meter.counting = true;
  meter.count("a", "1234");
  meter.count("a", "1234");
  meter.count("b", "");
  assert.equal(meter.messages, 3);
  assert.deepEqual(meter.ratesOver(2_000, 4), { mean: 25.75, busiest: 70 });
});

for (
  const { boundKind, value, holds } of [
    { boundKind: "most", value: 5, holds: true },
    { boundKind: "most", value: 6, holds: false },
    { boundKind: "least", value: 5, holds: true },
    { boundKind: "least", value: 4, holds: false },
  ] as const
) {
  test(`A figure of ${value} against at ${boundKind} 5`, () => {
    const figure = { name: "f", value, unit: "ms", bound: 5, boundKind };
    assert.equal(judgeFigure(figure).holds, holds);
  });
}
