import assert from "node:assert/strict";
import { test } from "node:test";
import type {
  RankEffect,
  RankEvent,
  RankOptions,
  RankState,
} from "@dandelionbank/switch-map";
import { checkSwitch, PRODUCT_CORE } from "./mod.ts";
import type { RankCore, ScenarioName } from "./mod.ts";

const MAX_STATES = 300_000;

test("In every order of one proposal's messages, all ranks run each step under one map", () => {
  const result = checkSwitch({
    scenario: "handOver",
    replacements: 0,
    changes: 0,
    maxStates: MAX_STATES,
  });
  assert.equal(result.violation, undefined);
  assert.equal(result.truncated, false);
  assert.ok(result.states > 10_000, `${result.states} states`);
});

test("All ranks run each step under one map if one is replaced after all promises", () => {
  const result = checkSwitch({
    scenario: "promised",
    replacements: 1,
    changes: 0,
    maxStates: MAX_STATES,
  });
  assert.equal(result.violation, undefined);
  assert.equal(result.truncated, false);
  assert.ok(result.continuations > 1_000, `${result.continuations} continued`);
});

interface Mutant {
  readonly name: string;
  readonly scenario?: ScenarioName;
  readonly replacements: number;
  readonly core: RankCore;
  readonly expectedViolation: RegExp;
}

const SAFETY = /oneOutcomePerProposal|noStepBeforeOutcome|Step 1 under maps/;

/** Faults injected into the core, with the replacements needed to expose each. */
const MUTANTS: readonly Mutant[] = [
  {
    name: "begins the step without waiting for the outcome",
    replacements: 0,
    core: createMutant({ changeEffect: dropHold }),
    expectedViolation: SAFETY,
  },
  {
    name: "commits without the last promise",
    replacements: 0,
    core: createMutant({ change: assumePromiseOfRank0 }),
    expectedViolation: SAFETY,
  },
  {
    name: "aborts a proposal that it has promised",
    replacements: 0,
    core: { start: PRODUCT_CORE.start, step: stepAbortingOnQuery },
    expectedViolation: SAFETY,
  },
  {
    name: "uses the platform's record after a replacement",
    replacements: 1,
    core: { start: startFromRecord, step: PRODUCT_CORE.step },
    expectedViolation: SAFETY,
  },
  {
    name: "aborts a proposal that its predecessor promised",
    scenario: "promised",
    replacements: 2,
    core: { start: PRODUCT_CORE.start, step: stepAbortingInherited },
    expectedViolation: SAFETY,
  },
  {
    name: "never asks its peers for the outcome",
    replacements: 0,
    core: createMutant({ changeEffect: dropAsk }),
    expectedViolation: /can't go on/,
  },
];

for (const mutant of MUTANTS) {
  test(`The check detects a rank that ${mutant.name}`, () => {
    const { violation } = checkSwitch({
      scenario: "handOver",
      changes: 0,
      maxStates: MAX_STATES,
      progress: mutant.expectedViolation !== SAFETY,
      ...mutant,
    });
    assert.match(violation?.detail ?? "none", mutant.expectedViolation);
    assert.notEqual(violation?.path.length, 0);
  });
}

interface MutantOptions {
  readonly change?: (state: RankState) => RankState;
  readonly changeEffect?: (effect: RankEffect) => readonly RankEffect[];
}

function createMutant(options: MutantOptions): RankCore {
  const change = options.change ?? ((state) => state);
  const changeEffect = options.changeEffect ?? ((effect) => [effect]);
  return {
    start(rankOptions, nowMs) {
      const { state, effects } = PRODUCT_CORE.start(rankOptions, nowMs);
      return { state: change(state), effects };
    },
    step(state, event, nowMs) {
      const result = PRODUCT_CORE.step(state, event, nowMs);
      const effects = result.effects.flatMap(changeEffect);
      return { state: change(result.state), effects };
    },
  };
}

function dropHold(effect: RankEffect): readonly RankEffect[] {
  if (effect.type !== "holdStep") return [effect];
  return [effect, { type: "releaseStep", step: effect.step }];
}

function dropAsk(effect: RankEffect): readonly RankEffect[] {
  const isAsk = effect.type === "send" && effect.message.type === "ask";
  return isAsk ? [] : [effect];
}

/** Counts a promise of rank 0 that may not have been made. */
function assumePromiseOfRank0(state: RankState): RankState {
  const { open } = state;
  if (open === undefined) return state;
  return {
    ...state,
    open: { ...open, promisedBy: open.promisedBy.with(0, 1) },
  };
}

/** Aborts a promised proposal when a peer asks about it. */
function stepAbortingOnQuery(
  state: RankState,
  event: RankEvent,
  nowMs: number,
) {
  const isAsk = event.type === "message" && event.message.type === "ask";
  const before = isAsk && state.open?.promised
    ? abortOpenProposal(state)
    : state;
  return PRODUCT_CORE.step(before, event, nowMs);
}

/** Aborts the proposal that a completed join leaves open. */
function stepAbortingInherited(
  state: RankState,
  event: RankEvent,
  nowMs: number,
) {
  const result = PRODUCT_CORE.step(state, event, nowMs);
  const joined = state.join !== undefined && result.state.join === undefined;
  return joined
    ? { ...result, state: abortOpenProposal(result.state) }
    : result;
}

function abortOpenProposal(state: RankState): RankState {
  const { open, ...rest } = state;
  if (open === undefined) return state;
  return { ...rest, closedVersion: open.proposal.mapVersion };
}

function startFromRecord(options: RankOptions, nowMs: number) {
  const started = PRODUCT_CORE.start(options, nowMs);
  if (options.self.incarnation === 1) return started;
  const { join: _, ...state } = started.state;
  const step = options.evidence.step + 1;
  const { mapVersion } = options.recorded.current;
  const effects = [
    { type: "switchMap", mapVersion, fromStep: step },
    { type: "releaseStep", step },
  ] as const;
  return { state: { ...state, heldStep: -1 }, effects };
}
