/** State of a switch, and helpers that send orders and change the phase. */

import type {
  ExpertMap,
  GroupOrder,
  OrderForwardingState,
  RankReport,
} from "@dandelionbank/types";
import type { ActivePhase, Phase, PhaseOf, SwitchEffect } from "./types.ts";

/**
 * Time after which an order without an answer is resent. While a rank is not
 * armed, its group may be kept from beginning a pass.
 */
const RESEND_MS = 30;
/** A large group takes longer to answer, as its calls are relayed. */
const RESEND_PER_RANK_MS = 1.1;
/**
 * Time after which an order that carries a map is resent. A map is large: resent
 * while the first copy is in flight, it would delay its own answer on a slow
 * link. It is resent at once when it is known to be lost.
 */
const RESEND_MAP_MS = 1_000;

export interface SwitchOptions {
  /** The coordinator's own rank, which never holds a pass and is armed last. */
  readonly ownRank: number;
  /** Lowest version that this coordinator uses. */
  readonly firstVersion: number;
}

/** Opaque; mutated in place. */
export interface SwitchState {
  readonly options: SwitchOptions;
  phase: Phase;
  reports: readonly RankReport[];
  /** When the first of the ranks was asked for the reports. */
  polledAtMs: number;
  /** Whether all agents follow this coordinator. */
  isFollowedByAll: boolean;
  agentOrders: ReadonlyMap<number, OrderForwardingState>;
  groupSize: number;
  plan: ExpertMap | undefined;
  /** The newest version that this coordinator chose; 0 if none. */
  ownVersion: number;
  /**
   * The latest pass, in an epoch, when all agents first followed this
   * coordinator. Earlier coordinators held no pass later than
   * `HOLD_LEAD_STEPS` after it.
   */
  followedSince: { readonly epoch: number; readonly step: number } | undefined;
  /** Ranks that have accepted the order to prepare the version. */
  readonly accepted: Set<number>;
  /** Time each order was last sent, by the key of `getOrderKey`. */
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
    polledAtMs: Number.NEGATIVE_INFINITY,
    isFollowedByAll: false,
    agentOrders: new Map(),
    groupSize: 0,
    plan: undefined,
    ownVersion: 0,
    followedSince: undefined,
    accepted: new Set(),
    sentAtMs: new Map(),
  };
}

/** Changes the phase and emits an effect that reports it. */
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

/** Chooses a version above all that the ranks have had. */
export function chooseVersion(state: SwitchState): number {
  const { reports, options, ownVersion } = state;
  const highest = Math.max(...reports.map(findHighestVersion), ownVersion);
  state.ownVersion = Math.max(options.firstVersion, highest + 1);
  return state.ownVersion;
}

/** Records that the pass is held, before any rank is armed for it. */
export function beginConfirming(
  context: SwitchContext,
  { version, epoch, step, holder }: PhaseOf<"holding">,
): void {
  const held = { version, epoch, step, holder };
  const sinceMs = context.nowMs;
  enterPhase(context, { ...held, name: "confirming", sinceMs });
}

/** Ends the switch and emits an effect that reports how. */
export function endSwitch(
  { state, effects }: SwitchContext,
  result: "switched" | "abandoned",
): void {
  const { phase } = state;
  if (phase.name === "idle") return;
  state.phase = { name: "idle" };
  state.accepted.clear();
  state.sentAtMs.clear();
  const { version, epoch } = phase;
  effects.push({
    type: "advanced",
    phase: result,
    version,
    epoch,
    step: undefined,
  });
}

/** Sends an order unless it was sent within the resend interval. */
export function sendOrder(
  { state, nowMs, effects }: SwitchContext,
  sent: OutgoingOrder,
): void {
  const key = getOrderKey(sent);
  const sentAtMs = state.sentAtMs.get(key);
  const resendMs = "map" in sent.order
    ? RESEND_MAP_MS
    : Math.max(RESEND_MS, state.groupSize * RESEND_PER_RANK_MS);
  if (sentAtMs !== undefined && nowMs - sentAtMs < resendMs) return;
  state.sentAtMs.set(key, nowMs);
  effects.push({ type: "send", isDirect: false, ...sent });
}

/** Lets an order with a map that was lost be resent at once. */
export function allowImmediateResend(
  { sentAtMs }: SwitchState,
  sent: Pick<OutgoingOrder, "order" | "rank">,
): void {
  if ("map" in sent.order) sentAtMs.delete(getOrderKey(sent));
}

function getOrderKey(
  { order, rank }: Pick<OutgoingOrder, "order" | "rank">,
): string {
  const subject = "step" in order ? order.step : order.version;
  return `${order.kind}/${rank}/${subject}`;
}

/** Orders a rank to release a held pass. */
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

/** Releases all held passes except for `exceptStep`. */
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

/** Whether every rank has reported, is open and has the same epoch. */
export function isGroupComplete(reports: readonly RankReport[]): boolean {
  const [first] = reports;
  return first !== undefined && reports.length === first.groupSize &&
    reports.every(({ epoch, isOpen }) => isOpen && epoch === first.epoch);
}

/** The latest pass that any rank has reported to have begun. */
export function findLatestStep(reports: readonly RankReport[]): number {
  return Math.max(0, ...reports.map(({ step }) => step));
}

export function listRanks(groupSize: number): readonly number[] {
  return Array.from({ length: groupSize }, (_, rank) => rank);
}

function findHighestVersion(report: RankReport): number {
  const { mapVersion, preparedVersion, armedVersion } = report;
  return Math.max(mapVersion, preparedVersion, armedVersion);
}
