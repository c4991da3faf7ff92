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

const SILENCE_TIMEOUT_MS = 3500;
const ERROR = new Error("Refused");

const started: WatchInput = { type: "started" };
const timerFired: WatchInput = { type: "timerFired" };
const compacted: WatchInput = { type: "watchCompacted" };
const watchFailed: WatchInput = { type: "watchFailed", error: ERROR };
const listFailed: WatchInput = { type: "listFailed", error: ERROR };

function listed(revision: number): WatchInput {
  return { type: "listed", list: { items: [], revision } };
}

function read(line: unknown): WatchInput {
  return { type: "lineRead", line: JSON.stringify(line) };
}

function bookmark(revision: number): WatchInput {
  return read({ type: "bookmark", revision });
}

function deleted(revision: number): WatchInput {
  const id = { kind: "stop", name: "engine-1", uid: "uid-1" };
  return read({ type: "delete", ...id, revision });
}

function put(revision: number): WatchInput {
  const id = { kind: "stop", name: "engine-1", uid: "uid-1" };
  const object = { ...id, revision, changeId: "change", value: {} };
  return read({ type: "put", object });
}

function run(inputs: readonly WatchInput[]) {
  let state = createWatchState({ idleTimeoutMs: SILENCE_TIMEOUT_MS });
  const effects: WatchEffect[][] = [];
  for (const input of inputs) {
    const next = stepWatch(state, input);
    state = next.state;
    effects.push([...next.effects]);
  }
  return { state, effects, last: effects.at(-1) ?? [] };
}

function describe(effect: WatchEffect): string {
  if (effect.type === "emit") return effect.event.type;
  if (effect.type === "openWatch") return `watch since ${effect.since}`;
  if (effect.type !== "setTimer") return effect.type;
  return `wait ${effect.minDelayMs} to ${effect.maxDelayMs}`;
}

const WATCHING = [started, listed(5), put(7)];
const AWAIT_LINE = "wait 3500 to 3500";
const FIRST_WAIT = "wait 100 to 200";

const CASES: readonly {
  readonly name: string;
  readonly inputs: readonly WatchInput[];
  readonly last: readonly string[];
}[] = [
  { name: "lists first", inputs: [started], last: ["list"] },
  {
    name: "watches from the list's revision",
    inputs: [started, listed(5)],
    last: ["listed", "watch since 5", AWAIT_LINE],
  },
  {
    name: "passes a change on",
    inputs: WATCHING,
    last: ["changed", AWAIT_LINE],
  },
  {
    name: "passes a deletion on",
    inputs: [...WATCHING, deleted(8)],
    last: ["changed", AWAIT_LINE],
  },
  {
    name: "passes a bookmark of a known revision on",
    inputs: [...WATCHING, bookmark(7)],
    last: ["bookmark", AWAIT_LINE],
  },
  {
    name: "passes a kind it doesn't know on as a bookmark",
    inputs: [
      ...WATCHING,
      read({ type: "delete", kind: "new", name: "", uid: "", revision: 8 }),
    ],
    last: ["bookmark", AWAIT_LINE],
  },
  ...[put(7), deleted(6), bookmark(6), read({ type: "put" })].flatMap(
    (line) => [
      {
        name: "distrusts a line that goes back or is malformed",
        inputs: [...WATCHING, line],
        last: ["closeWatch", "unreachable", FIRST_WAIT],
      },
      {
        name: "lists after such a line",
        inputs: [...WATCHING, line, timerFired],
        last: ["list"],
      },
    ],
  ),
  {
    name: "waits after a break",
    inputs: [...WATCHING, watchFailed],
    last: ["unreachable", FIRST_WAIT],
  },
  {
    name: "resumes after a break",
    inputs: [...WATCHING, watchFailed, timerFired],
    last: ["watch since 7", AWAIT_LINE],
  },
  {
    name: "replaces a silent watch",
    inputs: [...WATCHING, timerFired],
    last: ["closeWatch", "unreachable", FIRST_WAIT],
  },
  {
    name: "resumes after silence",
    inputs: [...WATCHING, timerFired, timerFired],
    last: ["watch since 7", AWAIT_LINE],
  },
  {
    name: "waits when it can't resume",
    inputs: [...WATCHING, compacted],
    last: [FIRST_WAIT],
  },
  {
    name: "lists when it can't resume",
    inputs: [...WATCHING, compacted, timerFired],
    last: ["list"],
  },
  {
    name: "doesn't pass an older list on",
    inputs: [...WATCHING, compacted, timerFired, listed(6)],
    last: ["unreachable", "wait 200 to 400"],
  },
  {
    name: "lists again after an older list",
    inputs: [...WATCHING, compacted, timerFired, listed(6), timerFired],
    last: ["list"],
  },
  {
    name: "lists again after a failed list",
    inputs: [started, listFailed, timerFired],
    last: ["list"],
  },
];

for (const { name, inputs, last } of CASES) {
  test(`A watch ${name}`, () => {
    assert.deepEqual(run(inputs).last.map(describe), last);
  });
}

test("The wait doubles up to its longest and starts anew with a line", () => {
  const breaks = Array.from({ length: 7 }, () => [watchFailed, timerFired]);
  const { effects } = run([...WATCHING, ...breaks.flat(), put(8), watchFailed]);
  const waits = effects.flat().filter((effect) =>
    effect.type === "setTimer" && effect.maxDelayMs !== SILENCE_TIMEOUT_MS
  );
  assert.deepEqual(waits.map(describe), [
    FIRST_WAIT,
    "wait 200 to 400",
    "wait 400 to 800",
    "wait 800 to 1600",
    "wait 1600 to 3200",
    "wait 2500 to 5000",
    "wait 2500 to 5000",
    FIRST_WAIT,
  ]);
});

/** An input that can come in the state's phase, drawn by two numbers. */
function inputFor(state: WatchState, [choice, revision]: [number, number]) {
  const inputs: Record<WatchState["phase"], readonly WatchInput[]> = {
    listing: [listed(revision), listFailed],
    waiting: [timerFired],
    watching: [
      put(revision),
      bookmark(revision),
      deleted(revision),
      read("garbled"),
      watchFailed,
      compacted,
      timerFired,
    ],
  };
  const possible = inputs[state.phase];
  return possible[choice % possible.length] as WatchInput;
}

test("No order of faults stops a watch or takes it back", () => {
  const draws = fc.array(fc.tuple(fc.nat(99), fc.nat(20)), { maxLength: 60 });
  fc.assert(
    fc.property(draws, (steps) => {
      let { state } = run([started]);
      let shown = -1;
      for (const draw of steps) {
        const next = stepWatch(state, inputFor(state, draw));
        state = next.state;
        const goesOn = next.effects.some(({ type }) =>
          type === "list" || type === "setTimer"
        );
        assert.ok(goesOn);
        for (const effect of next.effects) {
          const at = revisionOf(effect);
          if (at === undefined) continue;
          assert.ok(at >= shown);
          shown = at;
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
