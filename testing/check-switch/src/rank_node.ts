/**
 * An agent's state machine with the engine of its rank. The engine carries out
 * each effect immediately, and the agent receives the result as an event.
 */

import type {
  RankEffect,
  RankEvent,
  RankOptions,
  RankState,
  Recipient,
  SwitchMessage,
} from "@dandelionbank/switch-map";
import type { Step } from "@dandelionbank/types";
import {
  addMapOrder,
  beginStep,
  findMapForNextStep,
  holdEngine,
  releaseEngine,
} from "./rank_engine.ts";
import type { RankEngine } from "./rank_engine.ts";

/** The functions under check; tests replace them with faulty ones. */
export interface RankCore {
  start(options: RankOptions, nowMs: number): Step<RankState, RankEffect>;
  step(
    state: RankState,
    event: RankEvent,
    nowMs: number,
  ): Step<RankState, RankEffect>;
}

export interface RankNode {
  readonly agent: RankState;
  readonly engine: RankEngine;
}

export interface SentMessage {
  readonly to: Recipient;
  readonly message: SwitchMessage;
}

export interface NodeResult {
  readonly node: RankNode;
  readonly sent: readonly SentMessage[];
  /** Invariant violations that the state machine itself reported. */
  readonly violations: readonly string[];
}

interface ResultDraft {
  node: RankNode;
  readonly sent: SentMessage[];
  readonly violations: string[];
}

export function startNode(
  core: RankCore,
  start: { readonly options: RankOptions; readonly engine: RankEngine },
): NodeResult {
  const { state, effects } = core.start(start.options, 0);
  const draft: ResultDraft = {
    node: { agent: state, engine: start.engine },
    sent: [],
    violations: [],
  };
  for (const effect of effects) performEffect(core, draft, effect);
  return draft;
}

export function stepNode(
  core: RankCore,
  node: RankNode,
  event: RankEvent,
): NodeResult {
  const draft: ResultDraft = { node, sent: [], violations: [] };
  handleEvent(core, draft, event);
  return draft;
}

/** Begins the rank's next step, or returns `undefined` if it may not begin. */
export function advanceNode(
  core: RankCore,
  node: RankNode,
): NodeResult | undefined {
  const mapVersion = findMapForNextStep(node.engine);
  if (mapVersion === 0) return undefined;
  const engine = beginStep(node.engine, mapVersion);
  const event = {
    type: "stepStarted",
    step: engine.step,
    mapVersion,
  } as const;
  return stepNode(core, { ...node, engine }, event);
}

function handleEvent(
  core: RankCore,
  draft: ResultDraft,
  event: RankEvent,
): void {
  const { state, effects } = core.step(draft.node.agent, event, 0);
  draft.node = { ...draft.node, agent: state };
  for (const effect of effects) performEffect(core, draft, effect);
}

function performEffect(
  core: RankCore,
  draft: ResultDraft,
  effect: RankEffect,
): void {
  const { engine } = draft.node;
  switch (effect.type) {
    case "send":
      draft.sent.push({ to: effect.to, message: effect.message });
      return;
    case "holdStep": {
      const { step } = effect;
      const held = engine.step < step;
      if (held) setEngine(draft, holdEngine(engine, step));
      return handleEvent(core, draft, { type: "stepHeld", step, held });
    }
    case "releaseStep":
      return setEngine(draft, releaseEngine(engine, effect.step));
    case "stageMap":
      return handleEvent(core, draft, {
        type: "mapStaged",
        mapVersion: effect.mapVersion,
      });
    case "switchMap": {
      const { mapVersion, fromStep } = effect;
      setEngine(draft, addMapOrder(engine, { mapVersion, fromStep }));
      return handleEvent(core, draft, { type: "mapSwitched", mapVersion });
    }
    case "settled":
    case "superseded":
      return;
    case "invariantViolated":
      draft.violations.push(`${effect.invariant}: ${effect.detail}`);
  }
}

function setEngine(draft: ResultDraft, engine: RankEngine): void {
  draft.node = { ...draft.node, engine };
}
