import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { createRetryBudget, recordRequest, tryConsumeRetry } from "./mod.ts";

const OPTIONS = { ratio: 0.2, windowMs: 10_000, slack: 90 };

test("Services have separate retry budgets", () => {
  const budget = createRetryBudget(OPTIONS);
  const consume = (service: string) =>
    tryConsumeRetry(budget, { service, nowMs: 0, entryCount: 45 });
  assert.ok(consume("a"));
  assert.ok(!consume("a"));
  assert.ok(consume("b"));
});

test("In any window, all entries together stay within ratio and slack", () => {
  const entries = 7;
  const times = fc.array(
    fc.record({
      entry: fc.nat(entries - 1),
      afterMs: fc.nat(300),
      isRequest: fc.boolean(),
    }),
    { minLength: 200, maxLength: 800 },
  );
  fc.assert(
    fc.property(times, (events) => {
      const budgets = Array.from(
        { length: entries },
        () => createRetryBudget(OPTIONS),
      );
      const requests: number[] = [];
      const retries: number[] = [];
      let nowMs = 0;
      for (const { entry, afterMs, isRequest } of events) {
        nowMs += afterMs;
        const budget = budgets[entry]!;
        if (isRequest) {
          recordRequest(budget, { service: "s", nowMs });
          requests.push(nowMs);
        } else if (
          tryConsumeRetry(budget, { service: "s", nowMs, entryCount: entries })
        ) retries.push(nowMs);
      }
      for (const end of retries) {
        const isInWindow = (atMs: number) =>
          atMs <= end && atMs > end - OPTIONS.windowMs;
        const allowed = OPTIONS.slack +
          OPTIONS.ratio * requests.filter(isInWindow).length;
        assert.ok(retries.filter(isInWindow).length <= allowed);
      }
    }),
    { numRuns: 30 },
  );
});
