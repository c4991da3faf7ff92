import assert from "node:assert/strict";
import { test } from "node:test";
import { MessageQueue } from "./mod.ts";
import type { MessageFaults } from "./mod.ts";

interface Trace {
  readonly lines: string[];
  readonly queue: MessageQueue<string>;
}

function createTrace(seed: number, faults: Partial<MessageFaults> = {}): Trace {
  const queue = MessageQueue.create<string>({ seed, faults });
  const lines: string[] = [];
  queue.start("a", {
    receive: (message, from) => lines.push(`${queue.nowMs} ${from} ${message}`),
  });
  return { lines, queue };
}

const ALL_FAULTS: Partial<MessageFaults> = {
  maxDelayMs: 9,
  lossProbability: 0.2,
  duplicateProbability: 0.2,
  reorderProbability: 0.2,
  maxReorderDelayMs: 50,
};

function runWithFaults(seed: number): Trace {
  const trace = createTrace(seed, ALL_FAULTS);
  for (let i = 0; i < 200; i++) {
    trace.queue.post({ from: "b", to: "a" }, `m${i}`);
  }
  assert.ok(trace.queue.runUntilQuiet({ limitMs: 1_000 }));
  return trace;
}

test("The same seed gives the same run, and another seed a different one", () => {
  assert.deepEqual(runWithFaults(7).lines, runWithFaults(7).lines);
  assert.notDeepEqual(runWithFaults(7).lines, runWithFaults(8).lines);
});

test("Messages are lost, duplicated and reordered, and the faults are counted", () => {
  const { lines, queue } = runWithFaults(7);
  const { posted, delivered, lost, duplicated, reordered } = queue.counts;
  assert.equal(posted, 200);
  assert.equal(lines.length, delivered);
  assert.equal(delivered, posted - lost + duplicated);
  assert.ok(lost > 0 && duplicated > 0 && reordered > 0);
});

test("A frozen node receives the events that came due in order when it thaws", () => {
  const { lines, queue } = createTrace(1);
  queue.freeze("a");
  queue.post({ from: "b", to: "a" }, "one");
  queue.startTimer("a", { delayMs: 2, run: () => lines.push("timer") });
  queue.runAt(10, () => queue.thaw("a"));
  queue.runUntilQuiet({ limitMs: 100 });
  assert.deepEqual(lines, ["10 b one", "timer"]);
});

test("A stopped node loses its timers; messages in transit reach its successor", () => {
  const { lines, queue } = createTrace(1, { minDelayMs: 5, maxDelayMs: 5 });
  queue.startTimer("a", { delayMs: 6, run: () => lines.push("old timer") });
  queue.post({ from: "b", to: "a" }, "late");
  queue.stop("a");
  queue.runAt(
    3,
    () =>
      queue.start("a", { receive: (message) => lines.push(`new ${message}`) }),
  );
  queue.runUntilQuiet({ limitMs: 100 });
  assert.deepEqual(lines, ["new late"]);
  queue.stop("a");
  queue.post({ from: "b", to: "a" }, "lost");
  queue.runUntilQuiet({ limitMs: 200 });
  assert.equal(queue.counts.undeliverable, 1);
});

test("A cut link drops messages in one direction until it is healed", () => {
  const { lines, queue } = createTrace(1);
  queue.cut({ from: "b", to: "a" });
  queue.post({ from: "b", to: "a" }, "lost");
  queue.post({ from: "c", to: "a" }, "other");
  queue.heal({ from: "b", to: "a" });
  queue.post({ from: "b", to: "a" }, "kept");
  queue.runUntilQuiet({ limitMs: 100 });
  assert.deepEqual(lines, ["1 c other", "1 b kept"]);
});

test("A stopped timer does not run, and a clock jump changes one node's clock only", () => {
  const { lines, queue } = createTrace(1);
  queue.stopTimer(
    queue.startTimer("a", { delayMs: 1, run: () => lines.push("timer") }),
  );
  queue.jumpClock("a", 500);
  queue.runUntilQuiet({ limitMs: 100 });
  assert.deepEqual(lines, []);
  assert.equal(queue.clockMs("a") - queue.clockMs("b"), 500);
});

test("A run with events left stops at its time limit", () => {
  const { lines, queue } = createTrace(1);
  queue.runAt(50, () => lines.push("early"));
  queue.runAt(150, () => lines.push("late"));
  assert.equal(queue.runUntilQuiet({ limitMs: 100 }), false);
  assert.equal(queue.nowMs, 100);
  assert.deepEqual(lines, ["early"]);
});
