/** An agent's core joined to its rank, whose answers it gets at once. */

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
  beginStep,
  findNextMap,
  holdEngine,
  orderMap,
  releaseEngine,
} from "./rank_engine.ts";
import type { RankEngine } from "./rank_engine.ts";

/** The functions under check, so that a test can put a faulty one in place. */
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

export interface Sent {
  readonly to: Recipient;
  readonly message: SwitchMessage;
}

export interface NodeResult {
  readonly node: RankNode;
  readonly sent: readonly Sent[];
  /** Invariants that the core itself found violated. */
  readonly violations: readonly string[];
}

interface Draft {
  node: RankNode;
  readonly sent: Sent[];
  readonly violations: string[];
}

export function startNode(
  core: RankCore,
  start: { readonly options: RankOptions; readonly engine: RankEngine },
): NodeResult {
  const { state, effects } = core.start(start.options, 0);
  const draft: Draft = {
    node: { agent: state, engine: start.engine },
    sent: [],
    violations: [],
  };
  for (const effect of effects) perform(core, draft, effect);
  return draft;
}

export function stepNode(
  core: RankCore,
  node: RankNode,
  event: RankEvent,
): NodeResult {
  const draft: Draft = { node, sent: [], violations: [] };
  handle(core, draft, event);
  return draft;
}

/** The rank begins its next step, if nothing holds it. */
export function advanceNode(
  core: RankCore,
  node: RankNode,
): NodeResult | undefined {
  const mapVersion = findNextMap(node.engine);
  if (mapVersion === 0) return undefined;
  const engine = beginStep(node.engine, mapVersion);
  const event = {
    type: "stepStarted",
    step: engine.step,
    mapVersion,
  } as const;
  return stepNode(core, { ...node, engine }, event);
}

function handle(core: RankCore, draft: Draft, event: RankEvent): void {
  const { state, effects } = core.step(draft.node.agent, event, 0);
  draft.node = { ...draft.node, agent: state };
  for (const effect of effects) perform(core, draft, effect);
}

function perform(core: RankCore, draft: Draft, effect: RankEffect): void {
  const { engine } = draft.node;
  switch (effect.type) {
    case "send":
      draft.sent.push({ to: effect.to, message: effect.message });
      return;
    case "holdStep": {
      const { step } = effect;
      const held = engine.step < step;
      if (held) setEngine(draft, holdEngine(engine, step));
      return handle(core, draft, { type: "stepHeld", step, held });
    }
    case "releaseStep":
      return setEngine(draft, releaseEngine(engine, effect.step));
    case "stageMap":
      return handle(core, draft, {
        type: "mapStaged",
        mapVersion: effect.mapVersion,
      });
    case "switchMap": {
      const { mapVersion, fromStep } = effect;
      setEngine(draft, orderMap(engine, { mapVersion, fromStep }));
      return handle(core, draft, { type: "mapSwitched", mapVersion });
    }
    case "settled":
    case "superseded":
      return;
    case "invariantViolated":
      draft.violations.push(`${effect.invariant}: ${effect.detail}`);
  }
}

function setEngine(draft: Draft, engine: RankEngine): void {
  draft.node = { ...draft.node, engine };
}
