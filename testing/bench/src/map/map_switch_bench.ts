/**
 * The switch of an expert map in a group of 128 ranks, in virtual time: steps
 * held, messages and bytes, and the time from plan to in force.
 */

import { measureSwitch } from "@dandelionbank/soak";
import type { SwitchFigures } from "@dandelionbank/soak";
import { atMost, unbounded } from "../bench.ts";
import type { Bench, BenchReport, Figure } from "../bench.ts";

const SIZE = 128;
const LEAD_STEPS = 20;

interface Case {
  readonly name: string;
  readonly delayMs: number;
}

const CASES: readonly Case[] = [
  { name: "withoutDelay", delayMs: 0 },
  { name: "with5MsDelay", delayMs: 5 },
];

export const MAP_SWITCH_BENCH: Bench = {
  name: "map-switch",
  run: ({ seed }) => Promise.resolve(run(seed)),
};

function run(seed: number): BenchReport {
  const figures = CASES.flatMap((one) => listFigures(one, measure(one, seed)));
  const baselines = CASES.map((one) => listBaselines(one, seed));
  return { figures, baselines: Object.assign({}, ...baselines) };
}

function measure(one: Case, seed: number, coordinatorEnds = false) {
  const { delayMs } = one;
  return measureSwitch({
    seed,
    size: SIZE,
    leadSteps: LEAD_STEPS,
    delayMs,
    stopCoordinator: coordinatorEnds,
  });
}

function listFigures(one: Case, found: SwitchFigures): readonly Figure[] {
  const name = (what: string) => `${one.name}.${what}`;
  return [
    atMost({
      name: name("stepsHeld"),
      value: found.stepsHeld,
      unit: "steps",
    }, 0),
    atMost({
      name: name("violations"),
      value: found.violations.length,
      unit: "violations",
    }, 0),
    unbounded({
      name: name("messages"),
      value: found.messages,
      unit: "messages",
    }),
    unbounded({ name: name("bytes"), value: found.bytes, unit: "B" }),
    unbounded({
      name: name("planToInForceMs"),
      value: found.planToActiveMs,
      unit: "ms",
    }),
    unbounded({ name: name("stagingMs"), value: found.stagingMs, unit: "ms" }),
  ];
}

/** The same switch when ranks have only each other to ask, from the proposal on. */
function listBaselines(one: Case, seed: number): Record<string, number> {
  const found = measure(one, seed, true);
  return {
    [`${one.name}.peersOnly.stepsHeld`]: found.stepsHeld,
    [`${one.name}.peersOnly.messages`]: found.messages,
    [`${one.name}.peersOnly.bytes`]: found.bytes,
    [`${one.name}.peersOnly.planToInForceMs`]: found.planToActiveMs,
  };
}
