import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  createWatchState,
  stepWatch,
  type WatchEffect,
  type WatchInput,
  type WatchState,
} from "./mod.ts";

const IDLE_TIMEOUT_MS = 3500;
const ERROR = new Error("Refused");

const started: WatchInput = { type: "started" };
const timerFired: WatchInput = { type: "timerFired" };
const watchCompacted: WatchInput = { type: "watchCompacted" };
const watchFailed: WatchInput = { type: "watchFailed", error: ERROR };
const listFailed: WatchInput = { type: "listFailed", error: ERROR };

function listed(revision: number): WatchInput {
  return { type: "listed", list: { items: [], revision } };
}

function receiveLine(line: unknown): WatchInput {
  return { type: "lineReceived", line: JSON.stringify(line) };
}

function bookmark(revision: number): WatchInput {
  return receiveLine({ type: "bookmark", revision });
}

function deleted(revision: number): WatchInput {
  const id = { kind: "stop", name: "engine-1", uid: "uid-1" };
  return receiveLine({ type: "delete", ...id, revision });
}

function put(revision: number): WatchInput {
  const id = { kind: "stop", name: "engine-1", uid: "uid-1" };
  const object = { ...id, revision, changeId: "change", value: {} };
  return receiveLine({ type: "put", object });
}

function run(inputs: readonly WatchInput[]) {
  let state = createWatchState({ idleTimeoutMs: IDLE_TIMEOUT_MS });
  const effects: WatchEffect[][] = [];
  for (const input of inputs) {
    const next = stepWatch(state, input);
    state = next.state;
    effects.push([...next.effects]);
  }
  return { state, effects, lastEffects: effects.at(-1) ?? [] };
}

function describe(effect: WatchEffect): string {
  if (effect.type === "emit") return effect.event.type;
  if (effect.type === "openWatch") return `watch since ${effect.since}`;
  if (effect.type !== "setTimer") return effect.type;
  return `wait ${effect.minDelayMs} to ${effect.maxDelayMs}`;
}

const WATCHING = [started, listed(5), put(7)];
const IDLE_TIMER = "wait 3500 to 3500";
const FIRST_RETRY = "wait 100 to 200";

const CASES: readonly {
  readonly name: string;
  readonly inputs: readonly WatchInput[];
  readonly lastEffects: readonly string[];
}[] = [
  { name: "lists first", inputs: [started], lastEffects: ["list"] },
  {
    name: "watches from the list's revision",
    inputs: [started, listed(5)],
    lastEffects: ["listed", "watch since 5", IDLE_TIMER],
  },
  {
    name: "delivers a change",
    inputs: WATCHING,
    lastEffects: ["changed", IDLE_TIMER],
  },
  {
    name: "delivers a deletion",
    inputs: [...WATCHING, deleted(8)],
    lastEffects: ["changed", IDLE_TIMER],
  },
  {
    name: "delivers a bookmark of the current revision",
    inputs: [...WATCHING, bookmark(7)],
    lastEffects: ["bookmark", IDLE_TIMER],
  },
  {
    name: "delivers a change of an unknown kind as a bookmark",
    inputs: [
      ...WATCHING,
      receiveLine({
        type: "delete",
        kind: "new",
        name: "",
        uid: "",
        revision: 8,
      }),
    ],
    lastEffects: ["bookmark", IDLE_TIMER],
  },
  ...[put(7), deleted(6), bookmark(6), receiveLine({ type: "put" })].flatMap(
    (line) => [
      {
        name: "closes after a malformed line or one of an older revision",
        inputs: [...WATCHING, line],
        lastEffects: ["closeWatch", "unreachable", FIRST_RETRY],
      },
      {
        name: "lists again after such a line",
        inputs: [...WATCHING, line, timerFired],
        lastEffects: ["list"],
      },
    ],
  ),
  {
    name: "waits after a failure",
    inputs: [...WATCHING, watchFailed],
    lastEffects: ["unreachable", FIRST_RETRY],
  },
  {
    name: "resumes after a failure",
    inputs: [...WATCHING, watchFailed, timerFired],
    lastEffects: ["watch since 7", IDLE_TIMER],
  },
  {
    name: "closes at the idle timeout",
    inputs: [...WATCHING, timerFired],
    lastEffects: ["closeWatch", "unreachable", FIRST_RETRY],
  },
  {
    name: "resumes after an idle timeout",
    inputs: [...WATCHING, timerFired, timerFired],
    lastEffects: ["watch since 7", IDLE_TIMER],
  },
  {
    name: "waits when its revision has been compacted",
    inputs: [...WATCHING, watchCompacted],
    lastEffects: [FIRST_RETRY],
  },
  {
    name: "lists again when its revision has been compacted",
    inputs: [...WATCHING, watchCompacted, timerFired],
    lastEffects: ["list"],
  },
  {
    name: "discards an older list",
    inputs: [...WATCHING, watchCompacted, timerFired, listed(6)],
    lastEffects: ["unreachable", "wait 200 to 400"],
  },
  {
    name: "lists again after an older list",
    inputs: [...WATCHING, watchCompacted, timerFired, listed(6), timerFired],
    lastEffects: ["list"],
  },
  {
    name: "lists again after a failed list",
    inputs: [started, listFailed, timerFired],
    lastEffects: ["list"],
  },
];

for (const { name, inputs, lastEffects } of CASES) {
  test(`A watch ${name}`, () => {
    assert.deepEqual(run(inputs).lastEffects.map(describe), lastEffects);
  });
}

test("The retry delay doubles up to its maximum and is reset by a line", () => {
  const failures = Array.from({ length: 7 }, () => [watchFailed, timerFired]);
  const { effects } = run([
    ...WATCHING,
    ...failures.flat(),
    put(8),
    watchFailed,
  ]);
  const waits = effects.flat().filter((effect) =>
    effect.type === "setTimer" && effect.maxDelayMs !== IDLE_TIMEOUT_MS
  );
  assert.deepEqual(waits.map(describe), [
    FIRST_RETRY,
    "wait 200 to 400",
    "wait 400 to 800",
    "wait 800 to 1600",
    "wait 1600 to 3200",
    "wait 2500 to 5000",
    "wait 2500 to 5000",
    FIRST_RETRY,
  ]);
});

/** Selects an input that is possible in the state's phase, by two random numbers. */
function selectInput(state: WatchState, [choice, revision]: [number, number]) {
  const inputs: Record<WatchState["phase"], readonly WatchInput[]> = {
    listing: [listed(revision), listFailed],
    waiting: [timerFired],
    watching: [
      put(revision),
      bookmark(revision),
      deleted(revision),
      receiveLine("garbled"),
      watchFailed,
      watchCompacted,
      timerFired,
    ],
  };
  const possible = inputs[state.phase];
  return possible[choice % possible.length] as WatchInput;
}

test("A watch never stops and never delivers an older revision", () => {
  const draws = fc.array(fc.tuple(fc.nat(99), fc.nat(20)), { maxLength: 60 });
  fc.assert(
    fc.property(draws, (steps) => {
      let { state } = run([started]);
      let delivered = -1;
      for (const draw of steps) {
        const next = stepWatch(state, selectInput(state, draw));
        state = next.state;
        const isContinued = next.effects.some(({ type }) =>
          type === "list" || type === "setTimer"
        );
        assert.ok(isContinued);
        for (const effect of next.effects) {
          const revision = revisionOf(effect);
          if (revision === undefined) continue;
          assert.ok(revision >= delivered);
          delivered = revision;
        }
      }
    }),
    { seed: 11, numRuns: 2000 },
  );
});

function revisionOf(effect: WatchEffect): number | undefined {
  if (effect.type !== "emit") return undefined;
  const { event } = effect;
  if (event.type === "listed") return event.list.revision;
  if (event.type === "bookmark") return event.revision;
  if (event.type !== "changed") return undefined;
  const { change } = event;
  return change.type === "put" ? change.object.revision : change.revision;
}
