/**
 * Switch of an expert map in a group of 128 ranks, in virtual time: steps put on
 * hold, messages, bytes, and the time from the plan until the map is in force.
 */

import { measureSwitch } from "@dandelionbank/soak";
import type { SwitchFigures } from "@dandelionbank/soak";
import { atMost, unbounded } from "../bench.ts";
import type { Bench, BenchReport, Figure } from "../bench.ts";

const GROUP_SIZE = 128;
const LEAD_STEPS = 20;

interface BenchCase {
  readonly name: string;
  readonly delayMs: number;
}

const CASES: readonly BenchCase[] = [
  { name: "withoutDelay", delayMs: 0 },
  { name: "with5MsDelay", delayMs: 5 },
];

export const MAP_SWITCH_BENCH: Bench = {
  name: "map-switch",
  run: ({ seed }) => Promise.resolve(run(seed)),
};

function run(seed: number): BenchReport {
  const figures = CASES.flatMap((benchCase) =>
    listFigures(benchCase, measure(benchCase, seed))
  );
  const baselines = CASES.map((benchCase) => listBaselines(benchCase, seed));
  return { figures, baselines: Object.assign({}, ...baselines) };
}

function measure(benchCase: BenchCase, seed: number, stopCoordinator = false) {
  const { delayMs } = benchCase;
  return measureSwitch({
    seed,
    size: GROUP_SIZE,
    leadSteps: LEAD_STEPS,
    delayMs,
    stopCoordinator,
  });
}

function listFigures(
  benchCase: BenchCase,
  measured: SwitchFigures,
): readonly Figure[] {
  const prefixName = (figure: string) => `${benchCase.name}.${figure}`;
  return [
    atMost({
      name: prefixName("stepsHeld"),
      value: measured.stepsHeld,
      unit: "steps",
    }, 0),
    atMost({
      name: prefixName("violations"),
      value: measured.violations.length,
      unit: "violations",
    }, 0),
    unbounded({
      name: prefixName("messages"),
      value: measured.messages,
      unit: "messages",
    }),
    unbounded({ name: prefixName("bytes"), value: measured.bytes, unit: "B" }),
    unbounded({
      name: prefixName("planToInForceMs"),
      value: measured.planToActiveMs,
      unit: "ms",
    }),
    unbounded({
      name: prefixName("stagingMs"),
      value: measured.stagingMs,
      unit: "ms",
    }),
  ];
}

/**
 * Baseline: the same switch when the coordinator ends after the proposal, so
 * that the ranks learn the outcome only from each other.
 */
function listBaselines(
  benchCase: BenchCase,
  seed: number,
): Record<string, number> {
  const measured = measure(benchCase, seed, true);
  return {
    [`${benchCase.name}.peersOnly.stepsHeld`]: measured.stepsHeld,
    [`${benchCase.name}.peersOnly.messages`]: measured.messages,
    [`${benchCase.name}.peersOnly.bytes`]: measured.bytes,
    [`${benchCase.name}.peersOnly.planToInForceMs`]: measured.planToActiveMs,
  };
}
