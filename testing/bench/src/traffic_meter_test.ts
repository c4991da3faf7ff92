import assert from "node:assert/strict";
import { test } from "node:test";
import { evaluateFigure } from "./mod.ts";
import { TrafficMeter } from "./traffic_meter.ts";

test("Bytes are counted per node once counting is enabled", () => {
  const meter = TrafficMeter.create();
  meter.countMessage("a", "early");
  meter.isCounting = true;
  meter.countMessage("a", "1234");
  meter.countMessage("a", "1234");
  meter.countMessage("b", "");
  assert.equal(meter.messages, 3);
  assert.deepEqual(meter.computeRates(2_000, 4), { mean: 25.75, busiest: 70 });
});

for (
  const { boundKind, value, holds } of [
    { boundKind: "most", value: 5, holds: true },
    { boundKind: "most", value: 6, holds: false },
    { boundKind: "least", value: 5, holds: true },
    { boundKind: "least", value: 4, holds: false },
  ] as const
) {
  test(`A figure of ${value} with a bound of at ${boundKind} 5`, () => {
    const figure = { name: "f", value, unit: "ms", bound: 5, boundKind };
    assert.equal(evaluateFigure(figure).holds, holds);
  });
}
