import assert from "node:assert/strict";
import { test } from "node:test";
import { CoreRunner } from "./mod.ts";

interface SumState {
  readonly total: number;
}

test("Events are processed in order and effects may post further events", () => {
  const performed: string[] = [];
  const runner = CoreRunner.create<SumState, number, string>({
    initial: { total: 0 },
    step: (state, event, nowMs) => ({
      state: { total: state.total + event },
      effects: [`${event}@${nowMs}`],
    }),
    perform: (effect) => {
      performed.push(effect);
      if (effect === "1@7") runner.post(10);
    },
    readNowMs: () => 7,
  });
  runner.post(1);
  runner.post(2);

  assert.deepEqual(performed, ["1@7", "10@7", "2@7"]);
  assert.equal(runner.state.total, 13);
});

test("An effect that throws does not stop later events", () => {
  const runner = CoreRunner.create<SumState, number, string>({
    initial: { total: 0 },
    step: (state, event) => ({
      state: { total: state.total + event },
      effects: event < 0 ? ["throw"] : [],
    }),
    perform: () => {
      throw new Error("Effect failed");
    },
    readNowMs: () => 0,
  });
  assert.throws(() => runner.post(-1));
  runner.post(5);

  assert.equal(runner.state.total, 4);
});
