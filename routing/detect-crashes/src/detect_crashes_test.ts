import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type Crash,
  createCrashState,
  type LostRequest,
  recordLostAnswer,
  recordTargetAlive,
  recordTargetDown,
} from "./mod.ts";

test("Returns the requests of a crashed target once", () => {
  const state = createCrashState();
  lose(state, { target: "a", fingerprint: "f", nowMs: 0 });
  lose(state, { target: "a", fingerprint: "f", nowMs: 1 });
  lose(state, { target: "a", fingerprint: "g", nowMs: 2 });
  lose(state, { target: "b", fingerprint: "h", nowMs: 2 });
  const crash = recordTargetDown(state, { target: "a", nowMs: 100 });
  assert.ok(crash.isNew);
  assert.equal(crash.atMs, 0);
  assert.deepEqual(listAdded(crash), ["f", "f", "g"]);
  const again = recordTargetDown(state, { target: "a", nowMs: 100 });
  assert.ok(!again.isNew);
  assert.deepEqual(listAdded(again), []);
  assert.equal(again.lost.length, 3);
});

test("Returns a request whose answer is lost after its target went down", () => {
  const state = createCrashState();
  recordTargetDown(state, { target: "a", nowMs: 0 });
  const lost = { target: "a", fingerprint: "f" };
  const crash = lose(state, { ...lost, nowMs: 10 });
  assert.deepEqual(listAdded(crash), ["f"]);
  assert.equal(crash?.isNew, false);
  assert.equal(lose(state, { ...lost, nowMs: 5_000 }), undefined);
});

test("Ignores an answer that was lost long before its target went down", () => {
  const state = createCrashState();
  lose(state, { target: "a", fingerprint: "f", nowMs: 0 });
  const down = recordTargetDown(state, { target: "a", nowMs: 5_000 });
  assert.deepEqual(listAdded(down), []);
});

test("Ignores an answer that was lost before those of the crash", () => {
  const state = createCrashState();
  lose(state, { target: "a", fingerprint: "stalled", nowMs: 0 });
  lose(state, { target: "a", fingerprint: "crashed", nowMs: 2_700 });
  const down = recordTargetDown(state, { target: "a", nowMs: 2_900 });
  assert.deepEqual(listAdded(down), ["crashed"]);
  assert.equal(down.atMs, 2_700);
});

test("Ignores an answer that was lost before its target answered again", () => {
  const state = createCrashState();
  lose(state, { target: "a", fingerprint: "f", nowMs: 0 });
  lose(state, { target: "a", fingerprint: "g", nowMs: 400 });
  recordTargetAlive(state, { target: "a", nowMs: 500 });
  const down = recordTargetDown(state, { target: "a", nowMs: 600 });
  assert.deepEqual(listAdded(down), ["g"]);
});

test("Limits the lost answers stored per target", () => {
  const state = createCrashState();
  for (let index = 0; index < 1_000; index++) {
    lose(state, { target: "a", fingerprint: `${index}`, nowMs: 0 });
  }
  const added = listAdded(recordTargetDown(state, { target: "a", nowMs: 1 }));
  assert.equal(added.length, 64);
  assert.equal(added.at(-1), "999");
});

function lose(
  state: ReturnType<typeof createCrashState>,
  { target, fingerprint, nowMs }: {
    readonly target: string;
    readonly fingerprint: string;
    readonly nowMs: number;
  },
): Crash | undefined {
  const request: LostRequest = { fingerprint, promptParts: [] };
  return recordLostAnswer(state, { target, request, nowMs });
}

function listAdded(crash: Crash | undefined): readonly string[] {
  return crash?.added.flatMap(({ fingerprint }) => fingerprint ?? []) ?? [];
}
