/** The core's state, and the two ways in which a phase acts: orders and moves. */

import type {
  ExpertMap,
  GroupOrder,
  OrderForwardingState,
  RankReport,
} from "@dandelionbank/types";
import type { ActivePhase, Phase, SwitchEffect } from "./types.ts";

/** An order without an answer is sent again after this time. */
const REPEAT_MS = 80;
/**
 * A map is large: sent again while it is on its way, it would crowd its own
 * answer out of a narrow link. Once it is known to be lost it goes at once.
 */
const REPEAT_MAP_MS = 1_000;

export interface SwitchOptions {
  /** The coordinator's own rank, which holds nothing and is armed last. */
  readonly ownRank: number;
  /** Versions of this coordinator are at least this high. */
  readonly firstVersion: number;
}

/** Opaque; changed in place. */
export interface SwitchState {
  readonly options: SwitchOptions;
  phase: Phase;
  reports: readonly RankReport[];
  /** True if all agents follow this coordinator and no other. */
  isFollowedByAll: boolean;
  agentOrders: ReadonlyMap<number, OrderForwardingState>;
  groupSize: number;
  plan: ExpertMap | undefined;
  /** Ranks that have accepted to prepare the version. */
  readonly accepted: Set<number>;
  /** When each order was sent last, by its kind, rank and subject. */
  readonly sentAtMs: Map<string, number>;
}

export interface SwitchContext {
  readonly state: SwitchState;
  readonly nowMs: number;
  readonly effects: SwitchEffect[];
}

export interface OutgoingOrder {
  readonly rank: number;
  readonly order: GroupOrder;
  readonly epoch: number;
  readonly mayBypassAgent: boolean;
  readonly isDirect?: boolean;
}

export function createSwitchState(options: SwitchOptions): SwitchState {
  return {
    options,
    phase: { name: "idle" },
    reports: [],
    isFollowedByAll: false,
    agentOrders: new Map(),
    groupSize: 0,
    plan: undefined,
    accepted: new Set(),
    sentAtMs: new Map(),
  };
}

/** Goes on to a phase, and tells so. */
export function enterPhase(context: SwitchContext, phase: ActivePhase): void {
  context.state.phase = phase;
  const { name, version, epoch } = phase;
  const step = "step" in phase ? phase.step : undefined;
  context.effects.push({
    type: "advanced",
    phase: name,
    version,
    epoch,
    step,
  });
}

/** Ends the switch, and tells how. */
export function endSwitch(
  { state, effects }: SwitchContext,
  how: "switched" | "abandoned",
): void {
  const { phase } = state;
  if (phase.name === "idle") return;
  state.phase = { name: "idle" };
  state.accepted.clear();
  state.sentAtMs.clear();
  const { version, epoch } = phase;
  effects.push({
    type: "advanced",
    phase: how,
    version,
    epoch,
    step: undefined,
  });
}

/** Sends an order unless it was sent a moment ago. */
export function sendOrder(
  { state, nowMs, effects }: SwitchContext,
  sent: OutgoingOrder,
): void {
  const key = getOrderKey(sent);
  const sentAtMs = state.sentAtMs.get(key);
  const repeatMs = sent.order.kind === "prepare" ? REPEAT_MAP_MS : REPEAT_MS;
  if (sentAtMs !== undefined && nowMs - sentAtMs < repeatMs) return;
  state.sentAtMs.set(key, nowMs);
  effects.push({ type: "send", isDirect: false, ...sent });
}

/** A map that was lost may be sent again at once. */
export function allowImmediateResend(
  { sentAtMs }: SwitchState,
  sent: Pick<OutgoingOrder, "order" | "rank">,
): void {
  if (sent.order.kind === "prepare") sentAtMs.delete(getOrderKey(sent));
}

function getOrderKey(
  { order, rank }: Pick<OutgoingOrder, "order" | "rank">,
): string {
  const subject = "step" in order ? order.step : order.version;
  return `${order.kind}/${rank}/${subject}`;
}

/** Lets a held pass begin. */
export function sendRelease(
  context: SwitchContext,
  { rank, step, epoch }: {
    readonly rank: number;
    readonly step: number;
    readonly epoch: number;
  },
): void {
  const order: GroupOrder = { kind: "release", step };
  sendOrder(context, { rank, order, epoch, mayBypassAgent: true });
}

/** Lets every pass begin that ranks hold, but for one. */
export function releaseHolds(
  context: SwitchContext,
  { epoch, exceptStep }: {
    readonly epoch: number;
    readonly exceptStep?: number;
  },
): void {
  for (const { rank, heldStep } of context.state.reports) {
    if (heldStep === undefined || heldStep === exceptStep) continue;
    sendRelease(context, { rank, step: heldStep, epoch });
  }
}

/** True if every rank is there, in the same epoch, and open. */
export function isGroupComplete(reports: readonly RankReport[]): boolean {
  const [first] = reports;
  return first !== undefined && reports.length === first.groupSize &&
    reports.every(({ epoch, isOpen }) => isOpen && epoch === first.epoch);
}

/** The last pass that any rank is known to have begun. */
export function findLatestStep(reports: readonly RankReport[]): number {
  return Math.max(0, ...reports.map(({ step }) => step));
}

export function listRanks(groupSize: number): readonly number[] {
  return Array.from({ length: groupSize }, (_, rank) => rank);
}
