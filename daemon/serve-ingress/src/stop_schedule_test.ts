import assert from "node:assert/strict";
import { test } from "node:test";
import { createStopSchedule } from "./stop_schedule.ts";

const DIRECTORY_TTL_MS = 2_000;

test("With a grace period of 8 s, requests are accepted for 4 s and cut after 7.4 s", () => {
  assert.deepEqual(
    createStopSchedule({ graceMs: 8_000, directoryTtlMs: DIRECTORY_TTL_MS }),
    { acceptMs: 4_000, endMs: 7_200, cutMs: 7_400, closeMs: 300 },
  );
});

for (const graceMs of [500, 1_000, 2_000, 3_000, 5_000, 8_000, 30_000]) {
  test(`With a grace period of ${graceMs} ms, requests run into its last sixth`, () => {
    const { acceptMs, endMs, cutMs, closeMs } = createStopSchedule({
      graceMs,
      directoryTtlMs: DIRECTORY_TTL_MS,
    });
    assert.ok(cutMs >= graceMs * 5 / 6, `cut after ${cutMs} ms`);
    assert.ok(0 < acceptMs && acceptMs <= endMs && endMs <= cutMs);
    assert.ok(cutMs + closeMs < graceMs);
  });
}
