import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  type AdmissionEffect,
  type AdmissionState,
  createAdmissionState,
  stepAdmission,
  type StreamArrival,
} from "./mod.ts";

test("A group with free capacity admits a stream immediately", () => {
  const state = createGroup({ capacity: 4 });
  assert.deepEqual(arrive(state, "a", 0), ["admitted a"]);
});

test("Streams beyond the capacity wait and start as others end", () => {
  const state = createGroup({ capacity: 2 });
  arrive(state, "a", 0);
  arrive(state, "b", 0);
  assert.deepEqual(arrive(state, "c", 10), []);
  assert.deepEqual(post(state, { type: "ended" }, 300), ["admitted c"]);
});

test("A stream that cannot start within its caller's patience is refused on arrival", () => {
  const state = createGroup({ capacity: 1 });
  arrive(state, "a", 0);
  arrive(state, "b", 0);
  assert.deepEqual(arrive(state, "c", 0), ["refused c"]);
});

test("An entry may run one stream of its share while other entries fill the group", () => {
  const state = createGroup({
    capacity: 4,
    activeFromOtherEntries: 9,
    entryCount: 2,
  });
  assert.deepEqual(arrive(state, "a", 0), ["admitted a"]);
  assert.deepEqual(arrive(state, "b", 0), []);
});

test("A queued stream is refused once its latest start time has passed", () => {
  const state = createGroup({ capacity: 1 });
  arrive(state, "a", 0);
  arrive(state, "b", 0);
  assert.deepEqual(post(state, { type: "tick" }, 2_000), ["refused b"]);
});

test("During a stall, the retry time covers the expected rest of the stall", () => {
  const state = createGroup({ capacity: 2 });
  arrive(state, "a", 0);
  arrive(state, "b", 0);
  for (let index = 0; index < 5; index++) {
    arrive(state, `c${index}`, 200 * index);
    post(state, { type: "ended" }, 200 * index + 100);
  }
  arrive(state, "waits", 910);
  const { effects } = stepAdmission(state, {
    type: "arrived",
    id: "d",
    arrivedAtMs: 4_000,
    objectiveMs: 500,
    patienceMs: 2_000,
    priority: 1,
  }, 4_000);
  const refused = effects.find(({ id }) => id === "d");
  assert.equal(refused?.type, "refused");
  assert.ok(refused?.type === "refused" && refused.retryAfterMs > 1_000);
});

test("The highest priority starts first, then streams that can meet their objective", () => {
  const state = createGroup({ capacity: 1 });
  arrive(state, "a", 0);
  arrive(state, "late", 0);
  arrive(state, "fresh", 700, { patienceMs: 5_000 });
  assert.deepEqual(post(state, { type: "ended" }, 710), ["admitted fresh"]);
  arrive(state, "urgent", 720, { priority: 0, patienceMs: 9_000 });
  assert.deepEqual(post(state, { type: "ended" }, 730), ["admitted urgent"]);
});

test("Each stream is answered exactly once and the capacity is never exceeded", () => {
  const arrivals = fc.array(
    fc.record({ afterMs: fc.nat(200), endsFirst: fc.boolean() }),
    { minLength: 20, maxLength: 120 },
  );
  fc.assert(
    fc.property(
      arrivals,
      fc.integer({ min: 1, max: 6 }),
      (events, capacity) => {
        const state = createGroup({ capacity });
        const answers = new Map<string, number>();
        let nowMs = 0;
        const tally = (effects: readonly string[]) => {
          for (const effect of effects) {
            const id = effect.split(" ")[1]!;
            answers.set(id, (answers.get(id) ?? 0) + 1);
          }
          assert.ok(state.active <= capacity);
        };
        events.forEach(({ afterMs, endsFirst }, index) => {
          nowMs += afterMs;
          if (endsFirst && state.active > 0) {
            tally(post(state, { type: "ended" }, nowMs));
          }
          tally(arrive(state, String(index), nowMs));
        });
        tally(post(state, { type: "tick" }, nowMs + 60_000));
        while (state.active > 0) tally(post(state, { type: "ended" }, nowMs));
        assert.ok([...answers.values()].every((count) => count === 1));
        assert.equal(answers.size, events.length);
      },
    ),
  );
});

test("A stream waits for a group that takes streams again within its patience", () => {
  const state = createGroup({ capacity: 0, opensInMs: 300 });
  assert.deepEqual(arrive(state, "a", 0), []);
  const group = { activeFromOtherEntries: 0, entryCount: 1, opensInMs: 0 };
  const opened = { type: "groupChanged", capacity: 4, ...group } as const;
  assert.deepEqual(post(state, opened, 300), ["admitted a"]);
});

test("A stream is refused at once if it could not run in time after the group opens", () => {
  const state = createGroup({ capacity: 0, opensInMs: 1_000 });
  assert.deepEqual(arrive(state, "a", 0), ["refused a"]);
});

for (const opensInMs of [5_000, Infinity]) {
  test(`A group that takes no streams for ${opensInMs} ms refuses them at once, with times to return one after another`, () => {
    const state = createGroup({ capacity: 0, opensInMs });
    const refusals = ["a", "b"].map((id) =>
      stepAdmission(state, {
        type: "arrived",
        id,
        arrivedAtMs: 0,
        objectiveMs: 500,
        patienceMs: 1_500,
        priority: 1,
      }, 0).effects[0]!
    );
    const expectedMs = opensInMs === Infinity ? [1_000, 1_000] : [5_000, 5_010];
    assert.deepEqual(
      refusals.map((effect) =>
        effect.type === "refused" ? effect.retryAfterMs : 0
      ),
      expectedMs,
    );
  });
}

function createGroup(
  { capacity, activeFromOtherEntries = 0, entryCount = 1, opensInMs = 0 }: {
    readonly capacity: number;
    readonly opensInMs?: number;
    readonly activeFromOtherEntries?: number;
    readonly entryCount?: number;
  },
): AdmissionState {
  const state = createAdmissionState({
    expectedRunMs: 900,
    expectedFirstEventMs: 100,
  });
  stepAdmission(state, {
    type: "groupChanged",
    capacity,
    activeFromOtherEntries,
    entryCount,
    opensInMs,
  }, 0);
  return state;
}

function arrive(
  state: AdmissionState,
  id: string,
  nowMs: number,
  fields: Partial<StreamArrival> = {},
): readonly string[] {
  return post(state, {
    type: "arrived",
    id,
    arrivedAtMs: nowMs,
    objectiveMs: 500,
    patienceMs: 1_500,
    priority: 1,
    ...fields,
  }, nowMs);
}

function post(
  state: AdmissionState,
  event: Parameters<typeof stepAdmission>[1],
  nowMs: number,
): readonly string[] {
  return stepAdmission(state, event, nowMs).effects.map(
    (effect: AdmissionEffect) => `${effect.type} ${effect.id}`,
  );
}
